#pragma once

#include "platform_ports/PlatformPorts.h"

#include <string>

namespace parsleypaddle {

/// Reads the platform's list of instances; MalformedInput, MissingField or WrongType when it has another form.
absl::StatusOr<PlatformList> decodePlatformList(const std::string& json);

}
