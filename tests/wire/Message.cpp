#include "wire/Message.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>

namespace parsleypaddle::wire {

namespace {

    constexpr std::string_view lineEnd = "\r\n";

    /// How a kind of message is written. The last field extends to the end of the line.
    struct Shape {
        Kind kind;
        std::string_view word;
        size_t minFields;
        size_t maxFields;
        bool lastMayBeEmpty;
    };

    constexpr std::array<Shape, 7> shapes { {
        { Kind::Startup, "STARTUP", 2, 3, false },
        { Kind::Query, "QUERY", 2, 2, false },
        { Kind::Terminate, "TERMINATE", 0, 0, false },
        { Kind::DataRow, "DATAROW", 0, 1, true },
        { Kind::Complete, "COMPLETE", 1, 1, false },
        { Kind::Error, "ERROR", 2, 2, true },
        { Kind::Ready, "READY", 2, 2, false },
    } };

    absl::Status invalid(std::string_view what) { return absl::InvalidArgumentError(absl::string_view(what.data(), what.size())); }

    bool isNumber(std::string_view text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    }

    bool isPosition(std::string_view text)
    {
        const size_t dot = text.find('.');
        return text == "-" || (dot != std::string_view::npos && isNumber(text.substr(0, dot)) && isNumber(text.substr(dot + 1)));
    }

    absl::Status checkReady(const Message& message)
    {
        const std::string& state = message.fields[0];
        if (state != "I" && state != "T" && state != "E")
            return invalid("READY has an unknown state");
        if (!isPosition(message.fields[1]))
            return invalid("READY has no position");
        return absl::OkStatus();
    }

    absl::Status check(const Message& message, const Shape& shape)
    {
        const auto& fields = message.fields;
        if (fields.size() < shape.minFields || fields.size() > shape.maxFields)
            return invalid("a message has too few or too many fields");
        for (size_t n = 0; n < fields.size(); ++n) {
            const bool isLast = n + 1 == fields.size();
            if (fields[n].empty() && !(isLast && shape.lastMayBeEmpty))
                return invalid("a field is empty");
            if (!isLast && fields[n].find(' ') != std::string::npos)
                return invalid("a field before the last has a blank");
        }
        return message.kind == Kind::Ready ? checkReady(message) : absl::OkStatus();
    }

    std::vector<std::string> splitFields(std::string_view rest, size_t maxFields)
    {
        std::vector<std::string> fields;
        while (fields.size() + 1 < maxFields) {
            const size_t blank = rest.find(' ');
            if (blank == std::string_view::npos)
                break;
            fields.emplace_back(rest.substr(0, blank));
            rest.remove_prefix(blank + 1);
        }
        fields.emplace_back(rest);
        return fields;
    }

}

absl::StatusOr<Message> parse(std::string_view line)
{
    if (line.size() > maxMessageBytes)
        return invalid("a message is longer than 1 MiB");
    const size_t blank = line.find(' ');
    const std::string_view word = line.substr(0, blank);
    const auto* shape = std::find_if(shapes.begin(), shapes.end(), [word](const Shape& it) { return it.word == word; });
    if (shape == shapes.end())
        return invalid("a message has an unknown word");
    Message message { shape->kind, {} };
    if (blank != std::string_view::npos)
        message.fields = splitFields(line.substr(blank + 1), shape->maxFields);
    if (const auto status = check(message, *shape); !status.ok())
        return status;
    return message;
}

absl::StatusOr<std::string> write(const Message& message)
{
    const Shape& shape = *std::find_if(shapes.begin(), shapes.end(), [&message](const Shape& it) { return it.kind == message.kind; });
    if (const auto status = check(message, shape); !status.ok())
        return status;
    std::string line(shape.word);
    for (const auto& it : message.fields)
        absl::StrAppend(&line, " ", it);
    if (line.find(lineEnd) != std::string::npos)
        return invalid("a field has a CR LF");
    line.append(lineEnd);
    if (line.size() > maxMessageBytes)
        return invalid("a message is longer than 1 MiB");
    return line;
}

absl::StatusOr<std::optional<std::string>> LineSplitter::next()
{
    const size_t end = m_bytes.find(lineEnd, std::max(m_begin, m_searched));
    const size_t lineBytes = (end == std::string::npos ? m_bytes.size() : end) - m_begin;
    const bool mayEndInLineEnd = end == std::string::npos && m_bytes.size() > m_begin && m_bytes.back() == '\r';
    if (lineBytes > maxMessageBytes + (mayEndInLineEnd ? 1 : 0))
        return absl::ResourceExhaustedError("a message is longer than 1 MiB");
    if (end == std::string::npos) {
        // The last byte may be the CR of a CR LF that is still to come.
        m_bytes.erase(0, m_begin);
        m_begin = 0;
        m_searched = m_bytes.empty() ? 0 : m_bytes.size() - 1;
        return std::nullopt;
    }
    std::string line = m_bytes.substr(m_begin, end - m_begin);
    m_begin = end + lineEnd.size();
    m_searched = m_begin;
    return line;
}

}
