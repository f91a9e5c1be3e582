#pragma once

#include <absl/status/statusor.h>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The wire protocol as its description states it, independent of the code under test.
namespace parsleypaddle::wire {

enum class Kind { Startup,
    Query,
    Terminate,
    DataRow,
    Complete,
    Error,
    Ready };

/// A message: its kind and the fields in their order. Any field may hold any bytes; only the last may hold blanks.
struct Message {
    Kind kind { Kind::Terminate };
    std::vector<std::string> fields;

    friend bool operator==(const Message& a, const Message& b) { return a.kind == b.kind && a.fields == b.fields; }
    friend bool operator!=(const Message& a, const Message& b) { return !(a == b); }
};

/// The most bytes that a message has. The protocol does not say whether its CR LF counts: writers count it, readers don't.
constexpr size_t maxMessageBytes = size_t { 1 } << 20;

/// Reads a line without its CR LF. Returns InvalidArgument when the protocol has no such message.
absl::StatusOr<Message> parse(std::string_view line);

/// Writes a message with its CR LF. Returns InvalidArgument when it cannot be read back as the same message.
absl::StatusOr<std::string> write(const Message&);

/// Splits a stream of bytes into lines at CR LF, and at nothing else.
class LineSplitter {
public:
    void add(std::string_view bytes) { m_bytes.append(bytes); }

    /// The next whole line without its CR LF, or nothing when more bytes are needed. Returns ResourceExhausted when a message is
    /// longer than the protocol allows.
    absl::StatusOr<std::optional<std::string>> next();

    /// Bytes that belong to no whole line yet.
    size_t pending() const { return m_bytes.size() - m_begin; }

private:
    std::string m_bytes;
    size_t m_begin { 0 };
    size_t m_searched { 0 };
};

}
