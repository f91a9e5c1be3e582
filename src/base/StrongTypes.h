#pragma once

#include <cstdint>
#include <string>
#include <utility>

namespace parsleypaddle {

/// A string id whose type depends on `Tag`, so that ids of different kinds cannot be mixed up.
template <typename Tag>
class Name {
public:
    Name() = default;
    explicit Name(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    friend bool operator==(const Name& a, const Name& b) { return a.m_value == b.m_value; }
    friend bool operator!=(const Name& a, const Name& b) { return a.m_value != b.m_value; }
    friend bool operator<(const Name& a, const Name& b) { return a.m_value < b.m_value; }

    template <typename State>
    friend State AbslHashValue(State state, const Name& name)
    {
        return State::combine(std::move(state), name.m_value);
    }

private:
    std::string m_value;
};

/// An ordered number whose type depends on `Tag`, so that numbers of different kinds cannot be mixed up.
template <typename Tag>
class Ordinal {
public:
    constexpr Ordinal() = default;
    constexpr explicit Ordinal(uint64_t value)
        : m_value(value)
    {
    }

    constexpr uint64_t value() const { return m_value; }
    constexpr Ordinal next() const { return Ordinal(m_value + 1); }

    friend constexpr bool operator==(Ordinal a, Ordinal b) { return a.m_value == b.m_value; }
    friend constexpr bool operator!=(Ordinal a, Ordinal b) { return a.m_value != b.m_value; }
    friend constexpr bool operator<(Ordinal a, Ordinal b) { return a.m_value < b.m_value; }
    friend constexpr bool operator>(Ordinal a, Ordinal b) { return a.m_value > b.m_value; }
    friend constexpr bool operator<=(Ordinal a, Ordinal b) { return a.m_value <= b.m_value; }
    friend constexpr bool operator>=(Ordinal a, Ordinal b) { return a.m_value >= b.m_value; }

    template <typename State>
    friend State AbslHashValue(State state, Ordinal ordinal)
    {
        return State::combine(std::move(state), ordinal.m_value);
    }

private:
    uint64_t m_value { 0 };
};

}
