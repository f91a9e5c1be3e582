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

    constexpr size_t greatestText = 16'777'216;
    constexpr size_t chunkSize = 65'536;

}

std::string compressText(const std::string& text)
{
    // POCO's stream writes no end of the compressed form when nothing went in.
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

absl::StatusOr<std::string> expandText(const std::string& compressed)
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
            if (text.size() > greatestText)
                return makeError(ResultCode::TooLarge, "the expanded text has more than 16 MiB");
        }
        return text;
    } catch (const std::exception& ec) {
        return makeError(ResultCode::MalformedInput, std::string("not a compressed text: ") + ec.what());
    }
}

}
