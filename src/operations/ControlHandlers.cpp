#include "operations/ControlHandlers.h"

#include "base/ResultCode.h"

#include <chrono>
#include <future>
#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace parsleypaddle {

namespace {

    ControlResult resultOf(const absl::StatusOr<Json::Value>& value)
    {
        if (!value.ok())
            return ControlResult::failure(static_cast<int>(resultCodeOf(value.status())), std::string(value.status().message()));
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return ControlResult::success(Json::writeString(builder, *value));
    }

    ControlResult runOnLoop(PollLoop& loop, Operations& operations, const std::string& method, const Json::Value& parameters, Milliseconds timeout)
    {
        auto promise = std::make_shared<std::promise<ControlResult>>();
        auto future = promise->get_future();
        loop.post([&operations, method, parameters, promise] {
            operations.call(method, parameters, [promise](const absl::StatusOr<Json::Value>& value) { promise->set_value(resultOf(value)); });
        });
        if (future.wait_for(std::chrono::duration<double, std::milli>(timeout.count())) == std::future_status::ready)
            return future.get();
        return ControlResult::failure(static_cast<int>(ResultCode::OutcomeUnknown), "the daemon did not carry out " + method + " in time");
    }

}

std::map<std::string, ControlHandler> controlHandlersOf(PollLoop& loop, Operations& operations, Milliseconds timeout)
{
    std::map<std::string, ControlHandler> handlers;
    for (const auto& method : Operations::methods()) {
        handlers[method] = [&loop, &operations, method, timeout](const std::string& text) {
            const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
            Json::Value parameters;
            std::string faults;
            if (!reader->parse(text.data(), text.data() + text.size(), &parameters, &faults))
                return ControlResult::failure(static_cast<int>(ResultCode::MalformedInput), faults);
            return runOnLoop(loop, operations, method, parameters, timeout);
        };
    }
    return handlers;
}

}
