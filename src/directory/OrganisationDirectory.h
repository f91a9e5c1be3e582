#pragma once

#include "base/Ids.h"

#include <absl/status/statusor.h>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleypaddle {

/// Limit of the operations of one organisation over all daemons: a token bucket.
struct OperationLimit {
    /// Operations a second.
    double perSecond { 0 };
    /// Capacity of the bucket, in operations.
    double burst { 0 };
};

/// An organisation whose callers may use the routes of the configuration.
struct Organisation {
    OrganisationId id;
    OperationLimit limit;
};

/// An organisation with the keys by which its callers identify themselves.
struct OrganisationEntry {
    Organisation organisation;
    std::vector<std::string> keys;
};

/// The organisations of one configuration, found by the keys of their callers. Not modified after its creation. Keys are secrets:
/// no error or log line contains one.
class OrganisationDirectory {
public:
    /// Longest accepted key, in bytes.
    static constexpr size_t maxKeyBytes = 200;
    /// Longest accepted name of an organisation, in bytes.
    static constexpr size_t maxNameBytes = 200;
    /// Highest accepted rate, in operations a second, and highest accepted burst, in operations.
    static constexpr double maxLimit = 1e9;

    /// Errors: ValueOutOfRange for an organisation listed twice, for a name that is empty, too long, reserved or not a single word, for
    /// a key that is empty, too long, reserved or listed for two organisations, and for a limit that is negative, not finite or too high.
    static absl::StatusOr<std::shared_ptr<const OrganisationDirectory>> create(const std::vector<OrganisationEntry>&);

    /// The organisation that holds the key; null if none does.
    const Organisation* findByKey(std::string_view key) const;
    /// The organisation of this name; null if there is none.
    const Organisation* find(const OrganisationId&) const;
    size_t size() const { return m_organisations.size(); }
    const std::vector<Organisation>& organisations() const { return m_organisations; }

private:
    OrganisationDirectory() = default;

    std::vector<Organisation> m_organisations;
    /// Indexes into m_organisations.
    std::unordered_map<std::string, size_t> m_byKey;
    std::unordered_map<std::string, size_t> m_byName;
};

}
