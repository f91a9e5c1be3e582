#pragma once

#include "standin_program/GroupStandin.h"

namespace parsleypaddle {

/// The settings file of `parsleypaddle-standin group`.
struct GroupSettings {
    StandinGroup group;
    /// 0 takes a free port.
    uint16_t controlPort { 0 };
};

/// Reads the settings; MalformedInput says what is wrong with the file.
absl::StatusOr<GroupSettings> readGroupSettings(const std::string& path);

}
