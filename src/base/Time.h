#pragma once

#include <limits>

namespace parsleypaddle {

/// A duration in milliseconds, with fractions.
class Milliseconds {
public:
    constexpr Milliseconds() = default;
    constexpr explicit Milliseconds(double count)
        : m_count(count)
    {
    }

    constexpr double count() const { return m_count; }

    friend constexpr Milliseconds operator+(Milliseconds a, Milliseconds b) { return Milliseconds(a.m_count + b.m_count); }
    friend constexpr Milliseconds operator-(Milliseconds a, Milliseconds b) { return Milliseconds(a.m_count - b.m_count); }
    friend constexpr Milliseconds operator*(Milliseconds a, double factor) { return Milliseconds(a.m_count * factor); }
    friend constexpr bool operator==(Milliseconds a, Milliseconds b) { return a.m_count == b.m_count; }
    friend constexpr bool operator!=(Milliseconds a, Milliseconds b) { return a.m_count != b.m_count; }
    friend constexpr bool operator<(Milliseconds a, Milliseconds b) { return a.m_count < b.m_count; }
    friend constexpr bool operator>(Milliseconds a, Milliseconds b) { return a.m_count > b.m_count; }
    friend constexpr bool operator<=(Milliseconds a, Milliseconds b) { return a.m_count <= b.m_count; }
    friend constexpr bool operator>=(Milliseconds a, Milliseconds b) { return a.m_count >= b.m_count; }

private:
    double m_count { 0 };
};

/// A point in time, in milliseconds since the Unix epoch. The values that one EventLoop returns never decrease.
class Instant {
public:
    constexpr Instant() = default;
    constexpr explicit Instant(double sinceEpoch)
        : m_sinceEpoch(sinceEpoch)
    {
    }

    /// Later than any time that a clock tells.
    static constexpr Instant max() { return Instant(std::numeric_limits<double>::max()); }

    constexpr double sinceEpoch() const { return m_sinceEpoch; }

    friend constexpr Instant operator+(Instant a, Milliseconds b) { return Instant(a.m_sinceEpoch + b.count()); }
    friend constexpr Instant operator-(Instant a, Milliseconds b) { return Instant(a.m_sinceEpoch - b.count()); }
    friend constexpr Milliseconds operator-(Instant a, Instant b) { return Milliseconds(a.m_sinceEpoch - b.m_sinceEpoch); }
    friend constexpr bool operator==(Instant a, Instant b) { return a.m_sinceEpoch == b.m_sinceEpoch; }
    friend constexpr bool operator!=(Instant a, Instant b) { return a.m_sinceEpoch != b.m_sinceEpoch; }
    friend constexpr bool operator<(Instant a, Instant b) { return a.m_sinceEpoch < b.m_sinceEpoch; }
    friend constexpr bool operator>(Instant a, Instant b) { return a.m_sinceEpoch > b.m_sinceEpoch; }
    friend constexpr bool operator<=(Instant a, Instant b) { return a.m_sinceEpoch <= b.m_sinceEpoch; }
    friend constexpr bool operator>=(Instant a, Instant b) { return a.m_sinceEpoch >= b.m_sinceEpoch; }

private:
    double m_sinceEpoch { 0 };
};

}
