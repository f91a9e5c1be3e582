#include "configuration/CompressedText.h"

#include "base/ResultCode.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>
#include <array>
#include <sstream>

namespace parsleypaddle {

namespace {

    constexpr size_t maxTextBytes = 16'777'216;
    constexpr size_t chunkSize = 65'536;

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
        std::istringstream in(compressed);
        Poco::Base64Decoder decoder(in);
        Poco::InflatingInputStream inflater(decoder, Poco::InflatingStreamBuf::STREAM_ZLIB);
        inflater.exceptions(std::ios::badbit);
        std::string text;
        std::array<char, chunkSize> chunk {};
        while (inflater.good()) {
            inflater.read(chunk.data(), chunk.size());
            text.append(chunk.data(), static_cast<size_t>(inflater.gcount()));
            if (text.size() > maxTextBytes)
                return makeError(ResultCode::TooLarge, "the decompressed text is larger than 16 MiB");
        }
        return text;
    } catch (const std::exception& ec) {
        return makeError(ResultCode::MalformedInput, std::string("the text could not be decompressed: ") + ec.what());
    }
}

}
