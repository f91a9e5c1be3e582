#pragma once

#include "base/StrongTypes.h"

#include <cstdint>
#include <string>

namespace parsleypaddle {

/// Counts how often the platform's tables have returned from a copy, plus one. 0 where the platform does not tell it.
using PlatformEra = Ordinal<struct PlatformEraTag>;

/// The era of a platform that has never returned from a copy.
inline constexpr PlatformEra firstEra { 1 };

/// The version of a row of the platform, or of all its tables: a number that grows with every change that the platform accepts. When the
/// platform returns from an older copy, numbers are given out again, so versions are ordered by era first. Number 0 stands for a row that
/// does not exist.
class RowVersion {
public:
    /// Later eras cannot be told apart.
    static constexpr uint64_t maxEra = (uint64_t { 1 } << 24) - 1;
    /// Enough for 80 years at 400 changes a second; era and number together stay exact in a JSON number up to era 8191.
    static constexpr unsigned numberBits = 40;
    static constexpr uint64_t maxNumber = (uint64_t { 1 } << numberBits) - 1;

    constexpr RowVersion() = default;
    /// From value().
    constexpr explicit RowVersion(uint64_t value)
        : m_value(value)
    {
    }
    constexpr RowVersion(PlatformEra era, uint64_t number)
        : m_value(era.value() << numberBits | (number & maxNumber))
    {
    }

    constexpr PlatformEra era() const { return PlatformEra(m_value >> numberBits); }
    /// The version as the platform counts it.
    constexpr uint64_t number() const { return m_value & maxNumber; }
    /// Era and number as one number, which never decreases.
    constexpr uint64_t value() const { return m_value; }
    constexpr RowVersion next() const { return RowVersion(m_value + 1); }

    friend constexpr bool operator==(RowVersion a, RowVersion b) { return a.m_value == b.m_value; }
    friend constexpr bool operator!=(RowVersion a, RowVersion b) { return a.m_value != b.m_value; }
    friend constexpr bool operator<(RowVersion a, RowVersion b) { return a.m_value < b.m_value; }
    friend constexpr bool operator>(RowVersion a, RowVersion b) { return a.m_value > b.m_value; }
    friend constexpr bool operator<=(RowVersion a, RowVersion b) { return a.m_value <= b.m_value; }
    friend constexpr bool operator>=(RowVersion a, RowVersion b) { return a.m_value >= b.m_value; }

private:
    uint64_t m_value { 0 };
};

/// Era and number for logs, as in "2.159".
inline std::string textOf(RowVersion version)
{
    return std::to_string(version.era().value()) + '.' + std::to_string(version.number());
}

}
