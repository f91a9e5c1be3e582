# Helpers that turn a folder under src/ into a library, a program or a test program.
# Sources are found by name: *Tests.cpp are tests, main.cpp is a program's entry, the rest is the library.

add_library(parsleypaddle_options INTERFACE)
target_include_directories(parsleypaddle_options INTERFACE ${PROJECT_SOURCE_DIR}/src)
target_compile_definitions(parsleypaddle_options INTERFACE PARSLEYPADDLE_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
target_compile_definitions(parsleypaddle_options INTERFACE $<$<BOOL:${PARSLEYPADDLE_TEST_HOOKS}>:PARSLEYPADDLE_TEST_HOOKS>)
target_link_libraries(parsleypaddle_options INTERFACE Poco::Foundation)
target_compile_options(parsleypaddle_options INTERFACE -Wall -Wextra -Wpedantic
    $<$<BOOL:${PARSLEYPADDLE_WARNINGS_AS_ERRORS}>:-Werror>)

# parsleypaddle_slice(NAME DEPENDS targets... [TEST_DEPENDS targets...])
function(parsleypaddle_slice name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    file(GLOB tests CONFIGURE_DEPENDS *Tests.cpp)
    list(REMOVE_ITEM sources ${CMAKE_CURRENT_SOURCE_DIR}/main.cpp ${tests})
    if(sources)
        add_library(${name} STATIC ${sources})
        target_link_libraries(${name} PUBLIC parsleypaddle_options ${ARG_DEPENDS})
    else()
        add_library(${name} INTERFACE)
        target_link_libraries(${name} INTERFACE parsleypaddle_options ${ARG_DEPENDS})
    endif()
    if(tests)
        parsleypaddle_tests(${name}-tests SOURCES ${tests} DEPENDS ${name} ${ARG_TEST_DEPENDS})
    endif()
endfunction()

# parsleypaddle_tests(NAME SOURCES files... DEPENDS targets...): one Catch2 program, built as one unit.
function(parsleypaddle_tests name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    if(NOT PARSLEYPADDLE_LINT)
        set_target_properties(${name} PROPERTIES UNITY_BUILD ON UNITY_BUILD_BATCH_SIZE 0)
    endif()
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} test_main)
    target_precompile_headers(${name} REUSE_FROM test_main)
    add_test(NAME ${name} COMMAND ${name})
    # One seed for RapidCheck, so that every run gives the same verdict; the program run by hand draws its own.
    set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=2026")
endfunction()
