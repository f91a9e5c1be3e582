#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace parsleypaddle {

/// A message from a client of PostgreSQL v3; `type` is zero for the untyped ones that open a connection.
struct WireMessage {
    char type { 0 };
    std::string body;
};

/// Cuts a client's bytes into messages.
class WireMessageReader {
public:
    void append(std::string_view bytes) { m_buffer.append(bytes); }

    /// The next whole message. Until startUp() is called the untyped form is expected.
    std::optional<WireMessage> next();

    void startUp() { m_isStarted = true; }

    /// A length was out of range; nothing after it can be read.
    bool isBroken() const { return m_isBroken; }

private:
    std::string m_buffer;
    size_t m_read { 0 };
    bool m_isStarted { false };
    bool m_isBroken { false };
};

/// Reads the fields of one message's body. Past its end every field is empty.
class WireFields {
public:
    explicit WireFields(std::string_view body)
        : m_rest(body)
    {
    }

    bool isAtEnd() const { return m_rest.empty(); }
    std::string text();
    std::string bytes(size_t count);
    int16_t int16() { return static_cast<int16_t>(number(sizeof(int16_t))); }
    int32_t int32() { return static_cast<int32_t>(number(sizeof(int32_t))); }

private:
    uint32_t number(size_t width);

    std::string_view m_rest;
};

/// Appends one message of a server to a buffer; its length is filled in at the end of the scope.
class WireMessageWriter {
public:
    WireMessageWriter(std::string& buf, char type);
    ~WireMessageWriter();
    WireMessageWriter(const WireMessageWriter&) = delete;
    WireMessageWriter& operator=(const WireMessageWriter&) = delete;

    WireMessageWriter& text(std::string_view);
    WireMessageWriter& bytes(std::string_view);
    WireMessageWriter& int16(size_t);
    WireMessageWriter& int32(size_t);

private:
    std::string& m_buf;
    size_t m_start;
};

}
