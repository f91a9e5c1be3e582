#pragma once

#include "configuration/ConfigurationBody.h"

#include <json/value.h>

namespace parsleypaddle {

Json::Value digestToJson(const ConfigurationDigest&);

/// WrongType when a field is absent or of another type.
absl::StatusOr<ConfigurationDigest> digestFromJson(const Json::Value&);

}
