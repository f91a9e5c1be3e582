#include "statements/JsonWriter.h"

#include <Poco/JSONString.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace parsleypaddle {

namespace {

    bool needsEscape(char c)
    {
        constexpr unsigned char firstPrintable = 0x20;
        constexpr unsigned char deleteCharacter = 0x7f;
        const auto byte = static_cast<unsigned char>(c);
        return byte < firstPrintable || byte == deleteCharacter || c == '"' || c == '\\';
    }

    // Within a block, the loop does not exit early, so that the compiler can use vector instructions.
    bool needsEscape(std::string_view text)
    {
        constexpr size_t blockBytes = 64;
        size_t n = 0;
        while (n + blockBytes <= text.size()) {
            bool isFound = false;
            for (size_t i = 0; i < blockBytes; ++i)
                isFound |= needsEscape(text[n + i]);
            if (isFound)
                return true;
            n += blockBytes;
        }
        return std::any_of(text.begin() + n, text.end(), [](char c) { return needsEscape(c); });
    }

}

void JsonWriter::key(std::string_view name)
{
    writeSeparator();
    m_text += '"';
    m_text += name;
    m_text += "\":";
    m_needsComma = false;
}

void JsonWriter::text(std::string_view value)
{
    writeSeparator();
    // Most texts need no escaping, and Poco::toJSON() is slow because it processes one character at a time.
    if (needsEscape(value)) {
        m_text += Poco::toJSON(std::string(value), Poco::JSON_WRAP_STRINGS);
    } else {
        m_text += '"';
        m_text += value;
        m_text += '"';
    }
    m_needsComma = true;
}

void JsonWriter::number(uint64_t value)
{
    writeSeparator();
    absl::StrAppend(&m_text, value);
    m_needsComma = true;
}

void JsonWriter::number(double value)
{
    writeSeparator();
    absl::StrAppend(&m_text, std::isfinite(value) ? value : 0.0);
    m_needsComma = true;
}

void JsonWriter::boolean(bool value)
{
    writeSeparator();
    m_text += value ? "true" : "false";
    m_needsComma = true;
}

void JsonWriter::null()
{
    writeSeparator();
    m_text += "null";
    m_needsComma = true;
}

void JsonWriter::field(std::string_view name, std::string_view value)
{
    key(name);
    text(value);
}

void JsonWriter::field(std::string_view name, uint64_t value)
{
    key(name);
    number(value);
}

void JsonWriter::field(std::string_view name, double value)
{
    key(name);
    number(value);
}

void JsonWriter::begin(char bracket)
{
    writeSeparator();
    m_text += bracket;
    m_needsComma = false;
}

void JsonWriter::end(char bracket)
{
    m_text += bracket;
    m_needsComma = true;
}

void JsonWriter::writeSeparator()
{
    if (m_needsComma)
        m_text += ',';
}

}
