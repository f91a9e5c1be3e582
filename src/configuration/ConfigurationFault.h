#pragma once

#include <string>

namespace parsleypaddle {

/// One validation error in a configuration document.
struct ConfigurationFault {
    /// Line number in the document, counted from 1.
    int line { 0 };
    /// Path of the key, such as "groups[0].slots".
    std::string key;
    /// The invalid value, or what is wrong with it; such as "missing".
    std::string found;
    std::string expected;

    /// Formats the error as "FILE:LINE: KEY: FOUND, expected EXPECTED".
    std::string describe(const std::string& file) const { return file + ":" + std::to_string(line) + ": " + key + ": " + found + ", expected " + expected; }
};

}
