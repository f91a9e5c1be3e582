#include "targets/TargetSession.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    bool mayChangeSession(RelayKind kind)
    {
        return kind == RelayKind::SetValue || kind == RelayKind::Prepare || kind == RelayKind::Deallocate || kind == RelayKind::Reset;
    }

}

std::vector<TargetSession::Step> TargetSession::stepsOf(const std::vector<RelayStep>& statements)
{
    std::vector<Step> steps;
    steps.reserve(statements.size());
    for (const auto& it : statements) {
        if (mayChangeSession(it.kind))
            steps.push_back({ it.kind, it.name, it.argument });
        else
            steps.push_back({ it.kind, it.kind == RelayKind::Execute ? it.name : std::string(), {} });
    }
    return steps;
}

const std::string* TargetSession::findPrepared(const std::string& definition) const
{
    const auto it = m_prepared.find(definition);
    return it == m_prepared.end() ? nullptr : &it->second.name;
}

const std::string* TargetSession::leastRecentlyExecuted() const
{
    const auto it = std::min_element(m_prepared.begin(), m_prepared.end(), [](const auto& a, const auto& b) { return a.second.lastExecution < b.second.lastExecution; });
    return it == m_prepared.end() ? nullptr : &it->second.name;
}

std::string TargetSession::unusedName() const
{
    return "p" + std::to_string(m_preparations);
}

void TargetSession::apply(const std::vector<Step>& steps, const std::vector<RelayAnswer>& answers)
{
    for (size_t n = 0; n < std::min(steps.size(), answers.size()); ++n) {
        const RelayError error = answers[n].error;
        if (error == RelayError::None)
            applySuccess(steps[n]);
        else if (mayChangeSession(steps[n].kind) || error == RelayError::UnknownStatement)
            m_isKnown = false;
    }
}

void TargetSession::applySuccess(const Step& step)
{
    switch (step.kind) {
    case RelayKind::SetValue:
        m_variables[step.name] = step.argument;
        break;
    case RelayKind::Prepare:
        m_prepared[step.argument] = { step.name, ++m_executions };
        ++m_preparations;
        break;
    case RelayKind::Execute:
        noteExecution(step.name);
        break;
    case RelayKind::Deallocate: {
        const auto it = std::find_if(m_prepared.begin(), m_prepared.end(), [&step](const auto& each) { return each.second.name == step.name; });
        if (it != m_prepared.end())
            m_prepared.erase(it);
        break;
    }
    case RelayKind::Reset:
        m_variables.clear();
        m_prepared.clear();
        break;
    default:
        break;
    }
}

void TargetSession::noteExecution(const std::string& name)
{
    const auto it = std::find_if(m_prepared.begin(), m_prepared.end(), [&name](const auto& each) { return each.second.name == name; });
    if (it != m_prepared.end())
        it->second.lastExecution = ++m_executions;
}

}
