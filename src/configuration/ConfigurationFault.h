#pragma once

#include <string>

namespace parsleypaddle {

/// One thing that is wrong with a configuration document.
struct ConfigurationFault {
    /// Line of the document, from 1.
    int line { 0 };
    /// Path of the key, such as "groups[0].slots".
    std::string key;
    /// What stands there.
    std::string found;
    std::string expected;

    /// "FILE:LINE: KEY: FOUND, expected EXPECTED".
    std::string describe(const std::string& file) const { return file + ":" + std::to_string(line) + ": " + key + ": " + found + ", expected " + expected; }
};

}
