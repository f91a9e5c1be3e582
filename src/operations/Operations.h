#pragma once

#include "configuration/ConfigurationStore.h"
#include "operations/DaemonStatus.h"
#include "telemetry/Journal.h"

#include <absl/status/statusor.h>
#include <functional>
#include <json/value.h>
#include <string>
#include <vector>

namespace parsleypaddle {

/// The objects and functions that the methods of Operations access.
struct OperationsPorts {
    ConfigurationStore& store;
    const Journal& journal;
    std::function<DaemonStatus()> collectStatus;
    std::function<void()> startDraining;
};

/// The methods that operators' tools and other daemons call by name; docs/CONTROL.md lists them. Must be used from the
/// event loop's thread, and must outlive all pending calls.
class Operations {
public:
    using Done = std::function<void(absl::StatusOr<Json::Value>)>;

    explicit Operations(OperationsPorts);

    /// Calls a method; the result is the method's own result or error. UnknownResource when the method does not exist;
    /// MalformedInput, UnknownField, MissingField or WrongType when the parameters are invalid.
    void call(const std::string& method, const Json::Value& parameters, Done);

    static std::vector<std::string> methods();

private:
    struct Method;

    static const std::vector<Method>& methodTable();

    void showConfiguration(const Json::Value&, const Done&);
    void applyConfiguration(const Json::Value&, const Done&);
    void showHistory(const Json::Value&, const Done&);
    void showStatus(const Json::Value&, const Done&);
    void explain(const Json::Value&, const Done&);
    void drain(const Json::Value&, const Done&);
    void exchangeDigests(const Json::Value&, const Done&);
    void fetchBody(const Json::Value&, const Done&);

    OperationsPorts m_ports;
};

}
