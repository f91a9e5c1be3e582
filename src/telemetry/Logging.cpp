#include "telemetry/Logging.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace parsleypaddle {

namespace {

    void logTo(const char* pattern, const log4cxx::LevelPtr& level)
    {
        const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(pattern));
        const log4cxx::AppenderPtr appender(new log4cxx::ConsoleAppender(layout));
        const auto root = log4cxx::Logger::getRootLogger();
        root->addAppender(appender);
        root->setLevel(level);
    }

}

void setUpDecisionLogging()
{
    logTo("%m%n", log4cxx::Level::getInfo());
}

void setUpLogging(const std::string& level)
{
    logTo("%d{ISO8601} level=%p logger=%c %m%n", log4cxx::Level::toLevel(level));
}

}
