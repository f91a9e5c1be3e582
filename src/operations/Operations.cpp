#include "operations/Operations.h"

#include "base/ResultCode.h"
#include "configuration/ConfigurationYaml.h"
#include "operations/GossipJson.h"

#include <json/json.h>

namespace parsleypaddle {

namespace {

    enum class ParameterType : uint8_t {
        Text,
        Number,
    };

    struct Parameter {
        const char* name;
        ParameterType type;
        bool isRequired;
    };

    absl::Status checkParameter(const Json::Value& parameters, const Parameter& parameter)
    {
        if (!parameters.isMember(parameter.name)) {
            if (!parameter.isRequired)
                return absl::OkStatus();
            return makeError(ResultCode::MissingField, std::string(parameter.name) + " is missing from the parameters");
        }
        const Json::Value& value = parameters[parameter.name];
        const bool hasExpectedType = parameter.type == ParameterType::Text ? value.isString() : value.isUInt64();
        if (hasExpectedType)
            return absl::OkStatus();
        return makeError(ResultCode::WrongType, std::string(parameter.name) + " must be " + (parameter.type == ParameterType::Text ? "a string" : "a non-negative integer"));
    }

    absl::Status checkParameters(const Json::Value& parameters, const std::vector<Parameter>& known)
    {
        if (!parameters.isObject())
            return makeError(ResultCode::MalformedInput, "the parameters must be one JSON object");
        for (const auto& name : parameters.getMemberNames()) {
            bool isKnown = false;
            for (const auto& it : known)
                isKnown = isKnown || name == it.name;
            if (!isKnown)
                return makeError(ResultCode::UnknownField, name + " is not a parameter of this method");
        }
        for (const auto& it : known) {
            auto status = checkParameter(parameters, it);
            if (!status.ok())
                return status;
        }
        return absl::OkStatus();
    }

    Json::Value toJson(const std::vector<Decision>& decisions)
    {
        Json::Value list(Json::arrayValue);
        for (const auto& it : decisions) {
            Json::Value value;
            value["at"] = it.at.sinceEpoch();
            value["database"] = it.database.value();
            value["request"] = it.request.value();
            value["what"] = it.what;
            value["why"] = it.why;
            list.append(value);
        }
        return list;
    }

}

struct Operations::Method {
    const char* name;
    void (Operations::*handler)(const Json::Value&, const Done&);
    std::vector<Parameter> parameters;
};

const std::vector<Operations::Method>& Operations::methodTable()
{
    static const std::vector<Method> methods {
        { "config.show", &Operations::showConfiguration, {} },
        { "config.apply", &Operations::applyConfiguration, { { "base", ParameterType::Number, true }, { "document", ParameterType::Text, true }, { "author", ParameterType::Text, true } } },
        { "config.history", &Operations::showHistory, {} },
        { "status", &Operations::showStatus, {} },
        { "explain", &Operations::explain, { { "request", ParameterType::Text, false }, { "database", ParameterType::Text, false } } },
        { "drain", &Operations::drain, {} },
        { "gossip.exchange", &Operations::exchangeDigests, { { "from", ParameterType::Text, true }, { "version", ParameterType::Number, true }, { "change_id", ParameterType::Text, true }, { "body_hash", ParameterType::Text, true } } },
        { "gossip.fetch", &Operations::fetchBody, { { "version", ParameterType::Number, true } } },
    };
    return methods;
}

Operations::Operations(OperationsPorts ports)
    : m_ports(std::move(ports))
{
}

std::vector<std::string> Operations::methods()
{
    std::vector<std::string> names;
    for (const auto& it : methodTable())
        names.emplace_back(it.name);
    return names;
}

void Operations::call(const std::string& method, const Json::Value& parameters, Done done)
{
    for (const auto& it : methodTable()) {
        if (method != it.name)
            continue;
        const auto status = checkParameters(parameters, it.parameters);
        if (status.ok())
            (this->*it.handler)(parameters, done);
        else
            done(status);
        return;
    }
    done(makeError(ResultCode::UnknownResource, "unknown method " + method));
}

void Operations::showConfiguration(const Json::Value&, const Done& done)
{
    Json::Value value;
    value["version"] = Json::UInt64(m_ports.store.digest().version.value());
    value["change_id"] = m_ports.store.digest().changeId;
    value["document"] = writeConfiguration(*m_ports.store.current());
    done(value);
}

void Operations::applyConfiguration(const Json::Value& parameters, const Done& done)
{
    const ConfigurationVersion base(parameters["base"].asUInt64());
    m_ports.store.apply(base, parameters["document"].asString(), parameters["author"].asString(), [done](const auto& version) {
        if (!version.ok()) {
            done(version.status());
            return;
        }
        Json::Value value;
        value["version"] = Json::UInt64(version->value());
        done(value);
    });
}

void Operations::showHistory(const Json::Value&, const Done& done)
{
    Json::Value value;
    value["changes"] = Json::Value(Json::arrayValue);
    for (const auto& it : m_ports.store.history())
        value["changes"].append(changeRecordToJson(it));
    done(value);
}

void Operations::showStatus(const Json::Value&, const Done& done)
{
    done(parsleypaddle::toJson(m_ports.collectStatus()));
}

void Operations::explain(const Json::Value& parameters, const Done& done)
{
    if (parameters.isMember("request") == parameters.isMember("database")) {
        done(makeError(ResultCode::MissingField, "exactly one of request and database is required"));
        return;
    }
    Json::Value value;
    value["instance"] = m_ports.store.instance().value();
    value["complete_since"] = m_ports.journal.completeSince().sinceEpoch();
    if (parameters.isMember("request"))
        value["decisions"] = toJson(m_ports.journal.ofRequest(RequestId(parameters["request"].asString())));
    else
        value["decisions"] = toJson(m_ports.journal.ofDatabase(DatabaseId(parameters["database"].asString())));
    done(value);
}

void Operations::drain(const Json::Value&, const Done& done)
{
    m_ports.startDraining();
    Json::Value value;
    value["instance"] = m_ports.store.instance().value();
    value["draining"] = true;
    done(value);
}

void Operations::exchangeDigests(const Json::Value& parameters, const Done& done)
{
    const InstanceId from(parameters["from"].asString());
    const auto digest = digestFromJson(parameters);
    if (!digest.ok()) {
        done(digest.status());
        return;
    }
    done(digestToJson(m_ports.store.handleExchange(from, *digest)));
}

void Operations::fetchBody(const Json::Value& parameters, const Done& done)
{
    const auto body = m_ports.store.handleFetch(ConfigurationVersion(parameters["version"].asUInt64()));
    if (!body.ok()) {
        done(body.status());
        return;
    }
    Json::Value value;
    value["body"] = *body;
    done(value);
}

}
