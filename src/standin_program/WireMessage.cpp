#include "standin_program/WireMessage.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr size_t lengthWidth = 4;
    constexpr size_t greatestLength = size_t(64) * 1024 * 1024;
    constexpr unsigned bitsPerByte = 8;

    uint32_t bigEndian(std::string_view bytes)
    {
        uint32_t number = 0;
        for (const char it : bytes)
            number = number << bitsPerByte | static_cast<unsigned char>(it);
        return number;
    }

    void putBigEndian(char* place, size_t number, size_t width)
    {
        for (size_t n = 0; n < width; ++n)
            place[n] = static_cast<char>(number >> (bitsPerByte * (width - 1 - n)) & 0xFF);
    }

}

std::optional<WireMessage> WireMessageReader::next()
{
    const size_t typeWidth = m_isStarted ? 1 : 0;
    const std::string_view rest = std::string_view(m_buffer).substr(m_read);
    if (m_isBroken || rest.size() < typeWidth + lengthWidth)
        return std::nullopt;
    const size_t length = bigEndian(rest.substr(typeWidth, lengthWidth));
    m_isBroken = length < lengthWidth || length > greatestLength;
    if (m_isBroken || rest.size() < typeWidth + length)
        return std::nullopt;
    WireMessage message { m_isStarted ? rest.front() : '\0', std::string(rest.substr(typeWidth + lengthWidth, length - lengthWidth)) };
    m_read += typeWidth + length;
    if (m_read == m_buffer.size()) {
        m_buffer.clear();
        m_read = 0;
    }
    return message;
}

std::string WireFields::text()
{
    const size_t end = std::min(m_rest.find('\0'), m_rest.size());
    std::string text(m_rest.substr(0, end));
    m_rest.remove_prefix(std::min(end + 1, m_rest.size()));
    return text;
}

std::string WireFields::bytes(size_t count)
{
    std::string bytes(m_rest.substr(0, count));
    m_rest.remove_prefix(bytes.size());
    return bytes;
}

uint32_t WireFields::number(size_t width)
{
    return bigEndian(bytes(width));
}

WireMessageWriter::WireMessageWriter(std::string& buf, char type)
    : m_buf(buf)
    , m_start(buf.size() + 1)
{
    m_buf.push_back(type);
    m_buf.append(lengthWidth, '\0');
}

WireMessageWriter::~WireMessageWriter()
{
    putBigEndian(&m_buf[m_start], m_buf.size() - m_start, lengthWidth);
}

WireMessageWriter& WireMessageWriter::text(std::string_view text)
{
    m_buf.append(text);
    m_buf.push_back('\0');
    return *this;
}

WireMessageWriter& WireMessageWriter::bytes(std::string_view bytes)
{
    m_buf.append(bytes);
    return *this;
}

WireMessageWriter& WireMessageWriter::int16(size_t number)
{
    const size_t place = m_buf.size();
    m_buf.append(sizeof(int16_t), '\0');
    putBigEndian(&m_buf[place], number, sizeof(int16_t));
    return *this;
}

WireMessageWriter& WireMessageWriter::int32(size_t number)
{
    const size_t place = m_buf.size();
    m_buf.append(sizeof(int32_t), '\0');
    putBigEndian(&m_buf[place], number, sizeof(int32_t));
    return *this;
}

}
