#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace parsleypaddle {

/// Where a control interface listens, by IP number.
struct ControlAddress {
    std::string host;
    uint16_t port { 0 };
};

/// What a control method gave.
struct ControlResult {
    bool isOk { false };
    /// The result as JSON; empty on an error.
    std::string body;
    /// For people; empty on success.
    std::string error;
    /// A number of docs/RESULT_CODES.md.
    int code { 0 };

    static ControlResult success(std::string body)
    {
        ControlResult result;
        result.isOk = true;
        result.body = std::move(body);
        return result;
    }

    static ControlResult failure(int code, std::string error)
    {
        ControlResult result;
        result.code = code;
        result.error = std::move(error);
        return result;
    }
};

/// A control method. It gets its parameters as a JSON object, and may block.
using ControlHandler = std::function<ControlResult(const std::string& parametersJson)>;

}
