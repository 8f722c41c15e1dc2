include(GNUInstallDirs)

# Warnings and sanitizers that every target of ours is built with.
function(lovageloft_options target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Werror)
    if(LOVAGELOFT_SANITIZE)
        # With a sanitizer's code in between, GCC 12 takes members of kj's variants for uninitialized.
        target_compile_options(${target} PRIVATE -fsanitize=${LOVAGELOFT_SANITIZE} -fno-omit-frame-pointer -Wno-error=maybe-uninitialized)
        target_link_options(${target} PUBLIC -fsanitize=${LOVAGELOFT_SANITIZE})
    endif()
endfunction()

# One folder of the workspace as a static library: lovageloft_package(NAME SOURCES a.cpp ... LINKS lib ...).
# Headers are included from the top, as "core/clock.h".
function(lovageloft_package name)
    cmake_parse_arguments(PACKAGE "" "" "SOURCES;LINKS" ${ARGN})
    add_library(lovageloft_${name} STATIC ${PACKAGE_SOURCES})
    add_library(Lovageloft::${name} ALIAS lovageloft_${name})
    target_include_directories(lovageloft_${name} PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}> $<INSTALL_INTERFACE:include/lovageloft>)
    target_link_libraries(lovageloft_${name} PUBLIC ${PACKAGE_LINKS})
    set_target_properties(lovageloft_${name} PROPERTIES EXPORT_NAME ${name})
    lovageloft_options(lovageloft_${name})
endfunction()

# One Boost.Test program and its CTest entry: lovageloft_test(NAME SOURCES ... LINKS ...).
function(lovageloft_test name)
    cmake_parse_arguments(TEST "" "TIMEOUT" "SOURCES;LINKS" ${ARGN})
    add_executable(${name} ${TEST_SOURCES})
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(${name} PRIVATE ${TEST_LINKS} Boost::unit_test_framework)
    lovageloft_options(${name})
    add_test(NAME ${name} COMMAND ${name} WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
    if(NOT TEST_TIMEOUT)
        set(TEST_TIMEOUT 120)
    endif()
    set_tests_properties(${name} PROPERTIES TIMEOUT ${TEST_TIMEOUT})
endfunction()
