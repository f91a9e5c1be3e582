#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <json/value.h>
#include <string>
#include <vector>

namespace parsleypaddle {

/// One accepted change of the configuration.
struct ChangeRecord {
    ConfigurationVersion version;
    /// Unique to the attempt that made it, by which a lost answer is settled.
    std::string changeId;
    std::string author;
    Instant at;
    /// What changed, in one line.
    std::string summary;
};

/// A version of the configuration as it is stored and passed on: its document and the changes that led to it.
struct ConfigurationBody {
    /// The latest changes, newest first.
    std::vector<ChangeRecord> history;
    std::string document;
};

/// Names one version without its body.
struct ConfigurationDigest {
    ConfigurationVersion version;
    std::string changeId;
    /// Hash of the encoded body.
    std::string bodyHash;
};

/// The row that decides which version is the latest.
struct ConfigurationRoot {
    ConfigurationDigest digest;
    /// Name of the object that holds the encoded body.
    std::string object;
};

/// A change as operators and stored bodies show it.
Json::Value changeRecordToJson(const ChangeRecord&);

std::string encodeBody(const ConfigurationBody&);
absl::StatusOr<ConfigurationBody> decodeBody(const std::string& encoded);

std::string encodeRoot(const ConfigurationRoot&);
absl::StatusOr<ConfigurationRoot> decodeRoot(const std::string& encoded);

/// Hash of an encoded body, in hexadecimal.
std::string hashOf(const std::string& encodedBody);

}
