#include "directory/OrganisationDirectory.h"

#include "base/ResultCode.h"

#include <cmath>

namespace parsleypaddle {

namespace {

    bool isValidLimit(double value)
    {
        return std::isfinite(value) && value >= 0;
    }

    absl::Status checkKey(const std::string& key, const OrganisationId& organisation)
    {
        if (key.empty() || key.size() > OrganisationDirectory::maxKeyBytes)
            return makeError(ResultCode::ValueOutOfRange, "organisation " + organisation.value() + ": a key has " + std::to_string(key.size()) + " bytes, expected 1 to " + std::to_string(OrganisationDirectory::maxKeyBytes));
        return absl::OkStatus();
    }

}

absl::StatusOr<std::shared_ptr<const OrganisationDirectory>> OrganisationDirectory::create(const std::vector<OrganisationEntry>& entries)
{
    std::shared_ptr<OrganisationDirectory> directory(new OrganisationDirectory);
    for (const auto& it : entries) {
        const OrganisationId& id = it.organisation.id;
        if (id.isEmpty())
            return makeError(ResultCode::ValueOutOfRange, "an organisation has no name");
        if (!isValidLimit(it.organisation.limit.perSecond) || !isValidLimit(it.organisation.limit.burst))
            return makeError(ResultCode::ValueOutOfRange, "organisation " + id.value() + ": its limit is negative or not finite");
        const size_t index = directory->m_organisations.size();
        if (!directory->m_byName.emplace(id.value(), index).second)
            return makeError(ResultCode::ValueOutOfRange, "organisation " + id.value() + " is listed twice");
        directory->m_organisations.push_back(it.organisation);
        for (const auto& key : it.keys) {
            if (const auto status = checkKey(key, id); !status.ok())
                return status;
            const auto [known, isNew] = directory->m_byKey.emplace(key, index);
            if (!isNew && known->second != index)
                return makeError(ResultCode::ValueOutOfRange, "organisations " + directory->m_organisations[known->second].id.value() + " and " + id.value() + " have a key in common");
        }
    }
    return std::shared_ptr<const OrganisationDirectory>(std::move(directory));
}

const Organisation* OrganisationDirectory::findByKey(std::string_view key) const
{
    auto it = m_byKey.find(std::string(key));
    return it == m_byKey.end() ? nullptr : &m_organisations[it->second];
}

const Organisation* OrganisationDirectory::find(const OrganisationId& id) const
{
    auto it = m_byName.find(id.value());
    return it == m_byName.end() ? nullptr : &m_organisations[it->second];
}

}
