#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypaddle::fuzz {

/// A message as a MessageReader returns it.
struct ReadMessage {
    std::string text;
    bool isTooLong { false };

    friend bool operator==(const ReadMessage& a, const ReadMessage& b) { return a.text == b.text && a.isTooLong == b.isTooLong; }
};

/// Reads all messages of a stream that arrives in pieces of that size.
std::vector<ReadMessage> readInPieces(std::string_view stream, size_t maximumBytes, size_t pieceBytes);

/// The messages of the stream that are not too long.
std::vector<std::string> readTexts(std::string_view stream);

/// The message that the bytes are. nullopt if they are none, several, or one and something more.
std::optional<std::string> readOnly(std::string_view bytes);

/// The input up to the first end of a message.
std::string_view firstLine(std::string_view input);

/// The value of the input's byte at `at`; 0 after its end.
size_t byteAt(std::string_view input, size_t at);

}
