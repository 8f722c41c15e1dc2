include(CMakePackageConfigHelpers)

# The packages that others can embed, as find_package(Lovageloft) and Lovageloft::core, Lovageloft::coordination, Lovageloft::decision and what that uses.
set(lovageloft_installed "")
foreach(name core estimation partitioning coordination decision)
    if(TARGET lovageloft_${name})
        target_compile_features(lovageloft_${name} PUBLIC cxx_std_20)
        list(APPEND lovageloft_installed lovageloft_${name})
        install(DIRECTORY ${PROJECT_SOURCE_DIR}/${name} DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/lovageloft FILES_MATCHING PATTERN "*.h")
    endif()
endforeach()
install(TARGETS ${lovageloft_installed} EXPORT LovageloftTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})

set(lovageloft_config_folder ${CMAKE_INSTALL_LIBDIR}/cmake/Lovageloft)
install(EXPORT LovageloftTargets NAMESPACE Lovageloft:: DESTINATION ${lovageloft_config_folder})
configure_package_config_file(cmake/LovageloftConfig.cmake.in ${PROJECT_BINARY_DIR}/LovageloftConfig.cmake INSTALL_DESTINATION ${lovageloft_config_folder})
write_basic_package_version_file(${PROJECT_BINARY_DIR}/LovageloftConfigVersion.cmake COMPATIBILITY SameMinorVersion)
install(FILES ${PROJECT_BINARY_DIR}/LovageloftConfig.cmake ${PROJECT_BINARY_DIR}/LovageloftConfigVersion.cmake DESTINATION ${lovageloft_config_folder})

# Installs into the build folder and builds the examples against that, as another project would.
add_test(NAME test_install
    COMMAND ${CMAKE_COMMAND} -DSOURCE=${PROJECT_SOURCE_DIR} -DBUILD=${PROJECT_BINARY_DIR} -DSANITIZE=${LOVAGELOFT_SANITIZE} -DGENERATOR=${CMAKE_GENERATOR}
            -P ${PROJECT_SOURCE_DIR}/tests/test_install.cmake)
set_tests_properties(test_install PROPERTIES TIMEOUT 300)
