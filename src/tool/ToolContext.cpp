#include "tool/ToolContext.h"

#include "configuration/Duration.h"

#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <json/writer.h>
#include <sstream>

namespace parsleypaddle {

ExitCode fail(ToolContext& context, const absl::Status& status)
{
    const ResultCode code = resultCodeOf(status);
    context.ports.err << "parsleypaddle: " << nameOf(code) << ": " << status.message() << '\n';
    return exitCodeOf(code);
}

void printJson(ToolContext& context, const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    context.ports.out << Json::writeString(builder, value) << '\n';
}

absl::StatusOr<std::string> readFile(const std::string& path)
{
    std::stringstream buf;
    if (path == "-") {
        buf << std::cin.rdbuf();
        return buf.str();
    }
    std::ifstream file(path);
    if (!file)
        return makeError(ResultCode::UnknownResource, "cannot read " + path);
    buf << file.rdbuf();
    return buf.str();
}

std::string formatMoment(Instant instant)
{
    constexpr double millisecondsPerSecond = 1000;
    const std::string seconds = formatInstant(instant);
    std::stringstream buf;
    buf << seconds.substr(0, seconds.size() - 1) << '.' << std::setw(3) << std::setfill('0')
        << static_cast<int>(std::fmod(instant.sinceEpoch(), millisecondsPerSecond)) << 'Z';
    return buf.str();
}

}
