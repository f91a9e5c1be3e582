#include "tests/fuzz/WireInput.h"

#include "platform/MessageFraming.h"
#include "tests/fuzz/FuzzTargets.h"

namespace parsleypaddle::fuzz {

using platform::MessageReader;

std::vector<ReadMessage> readInPieces(std::string_view stream, size_t maximumBytes, size_t pieceBytes)
{
    MessageReader reader(maximumBytes);
    std::vector<ReadMessage> messages;
    std::string received;
    for (size_t at = 0; at < stream.size(); at += pieceBytes) {
        received += stream.substr(at, pieceBytes);
        std::string_view input = received;
        while (const auto message = reader.next(input))
            messages.push_back({ std::string(message->text), message->isTooLong });
        received.erase(0, received.size() - input.size());
        expect(received.size() <= maximumBytes + 1, "no more than one message is kept in memory");
    }
    return messages;
}

std::vector<std::string> readTexts(std::string_view stream)
{
    std::vector<std::string> texts;
    for (auto& it : readInPieces(stream, platform::maximumMessageBytes, stream.size() + 1)) {
        if (!it.isTooLong)
            texts.push_back(std::move(it.text));
    }
    return texts;
}

std::optional<std::string> readOnly(std::string_view bytes)
{
    MessageReader reader(platform::maximumPeerMessageBytes);
    const auto message = reader.next(bytes);
    if (!message || message->isTooLong || !bytes.empty())
        return std::nullopt;
    return std::string(message->text);
}

std::string_view firstLine(std::string_view input)
{
    return input.substr(0, input.find("\r\n"));
}

size_t byteAt(std::string_view input, size_t at)
{
    return at < input.size() ? static_cast<unsigned char>(input[at]) : 0;
}

}
