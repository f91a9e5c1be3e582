#include "checking/History.h"

#include <absl/strings/numbers.h>

namespace parsleypaddle {

namespace {

    constexpr char separator = '#';

}

std::string valueOf(const std::string& session, uint64_t n)
{
    return session + separator + std::to_string(n);
}

std::optional<uint64_t> numberOf(const std::string& session, const std::string& value)
{
    const size_t end = value.find(separator);
    uint64_t n = 0;
    if (end == std::string::npos || value.substr(0, end) != session || !absl::SimpleAtoi(value.substr(end + 1), &n))
        return std::nullopt;
    return n;
}

}
