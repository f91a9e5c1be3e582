#include "directory/OrganisationDirectory.h"

#include "base/ResultCode.h"

#include <algorithm>
#include <cmath>

namespace parsleypaddle {

namespace {

    bool isValidLimit(double value)
    {
        return std::isfinite(value) && value >= 0 && value <= OrganisationDirectory::maxLimit;
    }

    // The name is a word of the line protocol, where "-" stands for no organisation and names of daemons begin with a tilde.
    bool isValidName(const std::string& name)
    {
        const bool isWord = std::all_of(name.begin(), name.end(), [](unsigned char it) { return it > ' ' && it != 0x7f; });
        return isWord && name != "-" && name.front() != '~' && name.size() <= OrganisationDirectory::maxNameBytes;
    }

    absl::Status checkKey(const std::string& key, const OrganisationId& organisation)
    {
        if (key.empty() || key.size() > OrganisationDirectory::maxKeyBytes)
            return makeError(ResultCode::ValueOutOfRange, "organisation " + organisation.value() + ": a key has " + std::to_string(key.size()) + " bytes, expected 1 to " + std::to_string(OrganisationDirectory::maxKeyBytes));
        if (key.front() == '~')
            return makeError(ResultCode::ValueOutOfRange, "organisation " + organisation.value() + ": a key begins with a tilde, as only names of daemons do");
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
        if (!isValidName(id.value()))
            return makeError(ResultCode::ValueOutOfRange, "the name of organisation " + std::to_string(directory->m_organisations.size() + 1) + " is no single word, is reserved or has more than " + std::to_string(maxNameBytes) + " bytes");
        if (!isValidLimit(it.organisation.limit.perSecond) || !isValidLimit(it.organisation.limit.burst))
            return makeError(ResultCode::ValueOutOfRange, "organisation " + id.value() + ": its limit is negative, not finite or above " + std::to_string(static_cast<int64_t>(maxLimit)));
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
