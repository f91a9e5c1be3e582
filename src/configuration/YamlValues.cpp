#include "configuration/YamlValues.h"

#include <Poco/Net/IPAddress.h>
#include <absl/strings/numbers.h>

namespace parsleypaddle {

std::function<std::optional<uint32_t>(const std::string&)> wholeNumberParser(uint32_t minimum, uint32_t maximum)
{
    return [minimum, maximum](const std::string& text) -> std::optional<uint32_t> {
        uint32_t number = 0;
        if (!absl::SimpleAtoi(text, &number) || number < minimum || number > maximum)
            return std::nullopt;
        return number;
    };
}

std::optional<std::string> parseIpAddress(const std::string& text)
{
    Poco::Net::IPAddress address;
    if (!Poco::Net::IPAddress::tryParse(text, address))
        return std::nullopt;
    return text;
}

}
