#include "configuration/CompressedText.h"

#include "base/ResultCode.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Checksum.h>
#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>
#include <array>
#include <iterator>
#include <sstream>
#include <string_view>

namespace parsleypaddle {

namespace {

    constexpr size_t maxTextBytes = 16'777'216;
    constexpr size_t chunkSize = 65'536;

    /// Whether the compressed bytes end with the checksum of the text, as zlib's format has it.
    bool endsWithChecksum(std::string_view bytes, const std::string& text)
    {
        Poco::Checksum checksum(Poco::Checksum::TYPE_ADLER32);
        checksum.update(text);
        std::string end;
        for (unsigned shift = 32; shift > 0; shift -= 8)
            end += static_cast<char>(checksum.checksum() >> (shift - 8));
        return bytes.size() >= end.size() && bytes.substr(bytes.size() - end.size()) == end;
    }

}

std::string compressText(const std::string& text)
{
    // POCO's deflating stream writes no end marker for an empty input, so its output would be incomplete.
    if (text.empty())
        return "";
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    Poco::DeflatingOutputStream deflater(encoder, Poco::DeflatingStreamBuf::STREAM_ZLIB);
    deflater << text;
    deflater.close();
    encoder.close();
    return out.str();
}

absl::StatusOr<std::string> decompressText(const std::string& compressed)
{
    if (compressed.empty())
        return std::string();
    try {
        std::istringstream encoded(compressed);
        Poco::Base64Decoder decoder(encoded);
        const std::string bytes(std::istreambuf_iterator<char>(decoder), {});
        std::istringstream in(bytes);
        Poco::InflatingInputStream inflater(in, Poco::InflatingStreamBuf::STREAM_ZLIB);
        inflater.exceptions(std::ios::badbit);
        std::string text;
        std::array<char, chunkSize> chunk {};
        while (inflater.good()) {
            inflater.read(chunk.data(), chunk.size());
            text.append(chunk.data(), static_cast<size_t>(inflater.gcount()));
            if (text.size() > maxTextBytes)
                return makeError(ResultCode::TooLarge, "the decompressed text is larger than 16 MiB");
        }
        // POCO's inflating stream takes the end of its input for the end of the text.
        if (!endsWithChecksum(bytes, text))
            return makeError(ResultCode::MalformedInput, "the text could not be decompressed: it is incomplete");
        return text;
    } catch (const std::exception& ec) {
        return makeError(ResultCode::MalformedInput, std::string("the text could not be decompressed: ") + ec.what());
    }
}

}
