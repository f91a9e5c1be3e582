#include "configuration/Duration.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <array>
#include <cmath>

namespace parsleypaddle {

namespace {

    struct DurationUnit {
        const char* suffix;
        double milliseconds;
    };

    // Formatting tries the largest unit first. Parsing tries "ms" before "s", which is a suffix of "ms".
    constexpr std::array<DurationUnit, 4> formatUnits { { { "h", 3'600'000 }, { "m", 60'000 }, { "s", 1000 }, { "ms", 1 } } };
    constexpr std::array<DurationUnit, 4> parseUnits { { { "ms", 1 }, { "s", 1000 }, { "m", 60'000 }, { "h", 3'600'000 } } };

    constexpr int microsecondsPerMillisecond = 1000;

    bool endsWith(const std::string& text, const std::string& suffix)
    {
        return text.size() > suffix.size() && text.compare(text.size() - suffix.size(), suffix.size(), suffix) == 0;
    }

    bool isPlainNumber(const std::string& text)
    {
        return !text.empty() && text.find_first_not_of("0123456789.") == std::string::npos;
    }

}

std::optional<Milliseconds> parseDuration(const std::string& text)
{
    for (const auto& it : parseUnits) {
        if (!endsWith(text, it.suffix))
            continue;
        const std::string number = text.substr(0, text.size() - std::string(it.suffix).size());
        double count = 0;
        if (!isPlainNumber(number) || !absl::SimpleAtod(number, &count))
            return std::nullopt;
        return Milliseconds(count * it.milliseconds);
    }
    return std::nullopt;
}

std::string formatDuration(Milliseconds duration)
{
    for (const auto& it : formatUnits) {
        const double count = duration.count() / it.milliseconds;
        if (count >= 1 && std::floor(count) == count)
            return absl::StrCat(static_cast<uint64_t>(count), it.suffix);
    }
    return absl::StrCat(duration.count(), "ms");
}

std::optional<Instant> parseInstant(const std::string& text)
{
    Poco::DateTime time;
    int offset = 0;
    if (!Poco::DateTimeParser::tryParse(Poco::DateTimeFormat::ISO8601_FORMAT, text, time, offset))
        return std::nullopt;
    const Instant instant(static_cast<double>(time.timestamp().epochMicroseconds()) / microsecondsPerMillisecond);
    // Poco's parser also accepts incomplete times and other time zones; the comparison rejects them.
    if (formatInstant(instant) != text)
        return std::nullopt;
    return instant;
}

std::string formatInstant(Instant instant)
{
    const Poco::Timestamp stamp(static_cast<Poco::Timestamp::TimeVal>(instant.sinceEpoch() * microsecondsPerMillisecond));
    return Poco::DateTimeFormatter::format(stamp, Poco::DateTimeFormat::ISO8601_FORMAT);
}

}
