#pragma once

#include <json/json.h>
#include <memory>
#include <string>

namespace rig {

inline Json::Value parseJson(const std::string& text)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    std::string errors;
    reader->parse(text.data(), text.data() + text.size(), &value, &errors);
    return value;
}

inline std::string writeJson(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

}
