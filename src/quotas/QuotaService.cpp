#include "quotas/QuotaService.h"

#include "statements/JsonWriter.h"

namespace parsleypaddle {

namespace {

    constexpr const char* protocolName = "quota";

    template <typename... Handlers>
    struct Overloaded : Handlers... {
        using Handlers::operator()...;
    };
    template <typename... Handlers>
    Overloaded(Handlers...) -> Overloaded<Handlers...>;

}

QuotaService::QuotaService(Context context)
    : m_context(std::move(context))
    , m_coordinator({ m_context.loop, m_context.port, m_context.log, m_context.instance, m_context.domain, m_context.domains, m_context.holdsRow, m_context.isRowValid, m_context.refreshHolders })
    , m_client({ m_context.loop, m_context.port, m_context.log, m_context.instance, m_context.domain, [this](const QuotaReport& report) { return m_coordinator.answer(report); } }, m_context.seed)
{
    m_context.port.setReceiver(protocolName, [this](const TargetAddress& from, std::string_view payload) { receive(from, payload); });
}

QuotaService::~QuotaService()
{
    m_context.port.setReceiver(protocolName, nullptr);
}

void QuotaService::setOrganisations(const std::shared_ptr<const OrganisationDirectory>& organisations)
{
    m_coordinator.setOrganisations(organisations);
    m_client.setOrganisations(organisations);
}

void QuotaService::setOtherHolders(std::vector<QuotaHolder> holders)
{
    if (m_context.holdsRow())
        holders.push_back({ m_context.instance, m_context.domain, m_context.address });
    m_coordinator.setHolders(holders);
    m_client.setHolders(holders);
}

void QuotaService::receive(const TargetAddress& from, std::string_view payload)
{
    const auto message = decodeQuotaMessage(payload);
    if (!message)
        return;
    const auto answer = [&](const QuotaReport& it) {
        const QuotaAnswer full = m_coordinator.answer(it);
        const bool isConfirmation = full.keepsOthers && full.entries.empty() && full.coordinator == it.coordinator;
        for (const auto& datagram : encodeQuotaMessage(isConfirmation ? QuotaMessage(QuotaConfirmation { full.report }) : QuotaMessage(full)))
            m_context.port.send(from, datagram);
    };
    std::visit(Overloaded { answer, [&](const QuotaAnswer& it) { m_client.handle(it); }, [&](const QuotaConfirmation& it) { m_client.handle(it); }, [&](const auto& it) { m_coordinator.handle(from, it); } }, *message);
}

std::string QuotaService::page() const
{
    JsonWriter json;
    json.beginObject();
    json.key("is_coordinator");
    json.boolean(m_coordinator.isActing());
    json.key("here");
    json.beginArray();
    for (const auto& it : m_client.uses()) {
        json.beginObject();
        json.field("organisation", it.organisation.value());
        json.field("admitted", it.admitted);
        json.field("refused", it.refused);
        json.field("demand_per_s", it.demand);
        json.field("share_per_s", it.share.amount);
        json.endObject();
    }
    json.endArray();
    json.key("failure_domain");
    json.beginArray();
    for (const auto& it : m_coordinator.lendings()) {
        json.beginObject();
        json.field("organisation", it.organisation.value());
        json.field("limit_per_s", it.limit);
        json.field("part_of_limit", it.share);
        json.field("lent_per_s", it.lent);
        json.field("demand_per_s", it.demand);
        json.field("daemons", static_cast<uint64_t>(it.borrowers));
        json.endObject();
    }
    json.endArray();
    json.endObject();
    return json.takeText();
}

}
