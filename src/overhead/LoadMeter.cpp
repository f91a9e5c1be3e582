#include "overhead/LoadMeter.h"

namespace parsleypaddle {

LoadMeter::LoadMeter(PollLoop& loop, const LoadTimes& times)
    : m_loop(loop)
    , m_start(loop.now() + times.warmUp)
    , m_end(m_start + times.measured)
{
    loop.after(m_end - loop.now(), [&loop] { loop.stop(); });
}

void LoadMeter::recordDone(Instant start)
{
    const Instant now = m_loop.now();
    if (now >= m_start && now < m_end)
        m_latencies.push_back((now - start).count());
}

void LoadMeter::recordFailure(const std::string& reason)
{
    ++m_failures;
    m_lastFailure = reason;
}

}
