#include "daemon/Logging.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace parsleypaddle {

void setUpLogging(const std::string& level)
{
    const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout("%d{ISO8601} level=%p logger=%c %m%n"));
    const log4cxx::AppenderPtr appender(new log4cxx::ConsoleAppender(layout));
    const auto root = log4cxx::Logger::getRootLogger();
    root->addAppender(appender);
    root->setLevel(log4cxx::Level::toLevel(level));
}

}
