// CMake builds the precompiled Catch2 header with this file; all test programs reuse it. main.cpp cannot, because it
// defines Catch2's main before the include.
