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
    /// Unique to one submission. When the answer to a write is lost, the id shows whether that write took effect.
    std::string changeId;
    std::string author;
    /// When the submitting daemon prepared the change, by that daemon's clock.
    Instant submittedAt;
    /// The first changed values, in one line; see summarizeChanges().
    std::string summary;
};

/// One version of the configuration as it is stored and sent to peers: its document and the latest changes.
struct ConfigurationBody {
    /// The latest changes up to this version, newest first.
    std::vector<ChangeRecord> history;
    std::string document;
};

/// Identifies one version and its body without containing the body.
struct ConfigurationDigest {
    ConfigurationVersion version;
    std::string changeId;
    /// Hash of the encoded body.
    std::string bodyHash;
};

/// The row of the platform's table that holds the latest version. Every change replaces it by a conditional write.
struct ConfigurationRoot {
    ConfigurationDigest digest;
    /// Name of the object in the platform's object store that holds the encoded body.
    std::string object;
};

/// Converts a change to the JSON that stored bodies contain and operators' tools receive.
Json::Value changeRecordToJson(const ChangeRecord&);

std::string encodeBody(const ConfigurationBody&);
absl::StatusOr<ConfigurationBody> decodeBody(const std::string& encoded);

std::string encodeRoot(const ConfigurationRoot&);
absl::StatusOr<ConfigurationRoot> decodeRoot(const std::string& encoded);

/// XXH64 hash of an encoded body, as 16 hexadecimal digits.
std::string hashOf(const std::string& encodedBody);

}
