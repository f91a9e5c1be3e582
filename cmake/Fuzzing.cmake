# With PARSLEYPADDLE_FUZZ, all code is built with sanitizers, and for libFuzzer where the compiler has it. With GCC the driver of
# tests/fuzz learns from the compiler which code an input reaches.
if(NOT PARSLEYPADDLE_FUZZ)
    return()
endif()
include(CheckCXXSourceCompiles)
set(CMAKE_REQUIRED_FLAGS -fsanitize=fuzzer)
check_cxx_source_compiles("#include <cstddef>\n#include <cstdint>\nextern \"C\" int LLVMFuzzerTestOneInput(const uint8_t*, size_t) { return 0; }" PARSLEYPADDLE_LIBFUZZER)
unset(CMAKE_REQUIRED_FLAGS)

target_compile_options(parsleypaddle_options INTERFACE -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
target_link_options(parsleypaddle_options INTERFACE -fsanitize=address,undefined)
if(PARSLEYPADDLE_LIBFUZZER)
    target_compile_options(parsleypaddle_options INTERFACE -fsanitize=fuzzer-no-link)
elseif(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    target_compile_options(parsleypaddle_options INTERFACE -fsanitize-coverage=trace-pc)
endif()
