#include "tool/Tool.h"

#include <cstdlib>
#include <sstream>

namespace parsleypaddle {

namespace {

    // A daemon's own key file serves as well: its first peer key is taken.
    std::string keyIn(const std::string& text)
    {
        std::istringstream in(text);
        std::string first;
        for (std::string line; std::getline(in, line);) {
            std::istringstream words(line);
            std::string kind;
            std::string secret;
            words >> kind >> secret;
            if (kind == "peer" && !secret.empty())
                return secret;
            if (first.empty() && secret.empty())
                first = kind;
        }
        return first;
    }

}

absl::StatusOr<std::string> loadKey(const std::string& keyFile)
{
    std::string text;
    if (!keyFile.empty()) {
        auto read = readFile(keyFile);
        if (!read.ok())
            return read.status();
        text = std::move(*read);
    } else if (const char* key = std::getenv("PARSLEYPADDLE_KEY")) { // NOLINT(concurrency-mt-unsafe)
        text = key;
    }
    std::string key = keyIn(text);
    if (key.empty())
        return makeError(ResultCode::KeyRefused, "no key; give --key-file FILE or set PARSLEYPADDLE_KEY");
    return key;
}

}
