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

/// What operators' methods act on.
struct OperationsPorts {
    ConfigurationStore& store;
    const Journal& journal;
    std::function<DaemonStatus()> status;
    std::function<void()> drain;
};

/// The methods that operators' tools and other daemons call, by name; docs/CONTROL.md lists them. Runs on the loop's
/// thread and must outlive the calls under way.
class Operations {
public:
    using Done = std::function<void(absl::StatusOr<Json::Value>)>;

    explicit Operations(OperationsPorts);

    /// Carries out a method. UnknownResource for one that is not there; UnknownField, MissingField and WrongType for
    /// parameters that do not fit.
    void call(const std::string& method, const Json::Value& parameters, Done);

    static std::vector<std::string> methods();

private:
    struct Method;

    static const std::vector<Method>& table();

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
