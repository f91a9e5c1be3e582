#include "distribution/ConfirmationMonitor.h"

#include <string>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds checkInterval { 1000 };

    std::string textOf(Milliseconds time)
    {
        return std::to_string(static_cast<int64_t>(time.count()));
    }

}

ConfirmationMonitor::ConfirmationMonitor(EventLoop& loop, const SharedRows& rows, DecisionLog& log, Milliseconds bound)
    : m_loop(loop)
    , m_rows(rows)
    , m_log(log)
    , m_bound(bound)
{
}

ConfirmationMonitor::~ConfirmationMonitor()
{
    m_loop.cancel(m_timer);
}

void ConfirmationMonitor::start()
{
    m_timer = m_loop.after(checkInterval, [this] {
        check();
        start();
    });
}

void ConfirmationMonitor::check()
{
    const Milliseconds age = m_rows.confirmationAge();
    const bool isOverdue = age > m_bound;
    if (isOverdue == m_isOverdue)
        return;
    m_isOverdue = isOverdue;
    const Milliseconds gap = isOverdue ? age : m_rows.ageBeforeConfirmation();
    m_log.write(isOverdue ? "configuration_unconfirmed" : "configuration_confirmed", { { "age_ms", textOf(gap) }, { "bound_ms", textOf(m_bound) }, { "from", m_rows.isUsingPlatform() ? "platform" : "source" } });
}

}
