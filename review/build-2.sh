#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 under target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target -j"${LOVAGELOFT_JOBS:-8}" --target lovageloft_stand_ins
mkdir -p target/review-2
flags="-std=c++20 -O1 -g -I."
objects=
for source in review/kit-2/deployment.cpp review/kit-2/model_engine.cpp tests/system/child_process.cpp; do
    object=target/review-2/$(basename "$source" .cpp).o
    ${CXX:-g++} $flags -c "$source" -o "$object"
    objects="$objects $object"
done
archives=$(find target -name 'liblovageloft_*.a' | sort)
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -e "$source" ] || continue
    name=target/review-2/case-$(basename "$(dirname "$source")")
    ${CXX:-g++} $flags "$source" $objects -Wl,--start-group $archives -Wl,--end-group \
        -lPocoNet -lPocoJSON -lPocoFoundation -lPocoNetSSL -lPocoCrypto -lsimdjson -lxxhash -lssl -lcrypto -lboost_log -lboost_thread -lboost_system -lpthread -o "$name"
done
