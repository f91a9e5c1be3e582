#include "configuration/ConfigurationYaml.h"

#include "configuration/Duration.h"
#include "configuration/PolicySettings.h"

#include <yaml-cpp/yaml.h>

namespace parsleypaddle {

namespace {

    const char* nameOf(Urgency urgency)
    {
        switch (urgency) {
        // A document has no name for Critical, and Urgent is the highest urgency that it can give.
        case Urgency::Critical:
        case Urgency::Urgent:
            return "urgent";
        case Urgency::Normal:
            return "normal";
        case Urgency::Deferrable:
            break;
        }
        return "deferrable";
    }

    template <typename T>
    void emit(YAML::Emitter& out, const char* key, const T& value)
    {
        out << YAML::Key << key << YAML::Value << value;
    }

    template <typename Id>
    void emitIfSet(YAML::Emitter& out, const char* key, const Id& id)
    {
        if (!id.isEmpty())
            emit(out, key, id.value());
    }

    void emitDefaults(YAML::Emitter& out, const Policy& policy)
    {
        out << YAML::Key << "defaults" << YAML::Value << YAML::BeginMap;
        for (const auto& it : policySettings())
            emit(out, it.name, formatSetting(policy, it));
        out << YAML::EndMap;
    }

    void emitClass(YAML::Emitter& out, const ClassConfiguration& workload)
    {
        out << YAML::BeginMap;
        emit(out, "name", workload.name.value());
        emit(out, "urgency", nameOf(workload.urgency));
        emit(out, "weight", workload.weight);
        emit(out, "greatest-age", formatDuration(workload.greatestAge));
        emit(out, "deadline", formatDuration(workload.deadline));
        out << YAML::EndMap;
    }

    void emitGroup(YAML::Emitter& out, const GroupConfiguration& group)
    {
        out << YAML::BeginMap;
        emit(out, "database", group.database.value());
        emit(out, "slots", group.slots);
        emit(out, "connections", group.connections);
        out << YAML::Key << "targets" << YAML::Value << YAML::BeginSeq;
        for (const auto& it : group.targets) {
            out << YAML::BeginMap;
            emit(out, "id", it.id.value());
            emit(out, "host", it.address.host);
            emit(out, "port", static_cast<uint32_t>(it.address.port));
            emit(out, "failure-domain", it.failureDomain.value());
            out << YAML::EndMap;
        }
        out << YAML::EndSeq << YAML::EndMap;
    }

    void emitException(YAML::Emitter& out, const PolicyException& exception)
    {
        out << YAML::BeginMap;
        emit(out, "id", exception.id);
        emitIfSet(out, "database", exception.scope.database);
        emitIfSet(out, "shop", exception.scope.organisation);
        emitIfSet(out, "class", exception.scope.workload);
        emit(out, "setting", policySettingInfo(exception.setting).name);
        emit(out, "value", exception.value);
        emit(out, "reason", exception.reason);
        emit(out, "author", exception.author);
        if (exception.until)
            emit(out, "until", formatInstant(*exception.until));
        out << YAML::EndMap;
    }

    template <typename T>
    void emitList(YAML::Emitter& out, const char* key, const std::vector<T>& items, void (*emitItem)(YAML::Emitter&, const T&))
    {
        if (items.empty())
            return;
        out << YAML::Key << key << YAML::Value << YAML::BeginSeq;
        for (const auto& it : items)
            emitItem(out, it);
        out << YAML::EndSeq;
    }

}

std::string writeConfiguration(const Configuration& configuration)
{
    YAML::Emitter out;
    out << YAML::BeginMap;
    emit(out, "version", configuration.version.value());
    emitDefaults(out, configuration.defaults);
    emitList(out, "classes", configuration.classes, emitClass);
    emitList(out, "groups", configuration.groups, emitGroup);
    emitList(out, "exceptions", configuration.exceptions, emitException);
    out << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

}
