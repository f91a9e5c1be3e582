#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace parsleypaddle::wire {

/// Draws fields of messages from all bytes: with bare CR, bare LF, whole messages and a CR at the end, never with a CR LF.
class RandomTexts {
public:
    explicit RandomTexts(uint64_t seed)
        : m_random(seed)
    {
    }

    /// A number below `limit`.
    size_t below(size_t limit) { return static_cast<size_t>(m_random() % limit); }
    bool oneIn(size_t n) { return below(n) == 0; }
    /// 16 hexadecimal digits.
    std::string id();
    /// A field that may stand last: one byte at least, about `length` at most.
    std::string text(size_t length);
    /// A field that may stand before another: as text(), without blanks.
    std::string word(size_t length);
    /// A text of about `length` bytes, for lengths of up to a message's limit.
    std::string longText(size_t length);

private:
    std::string piece();

    std::mt19937_64 m_random;
};

/// Removes each LF that follows a CR, because no field can hold both.
std::string withoutLineEnds(std::string);

}
