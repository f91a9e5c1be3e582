#include "quotas/QuotaMessages.h"

#include "net/DatagramPort.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <array>
#include <charconv>
#include <cmath>

namespace parsleypaddle {

namespace {

    constexpr absl::string_view protocolPrefix = "quota ";
    constexpr absl::string_view endMark = ".";
    constexpr double maxNumber = 9e15;
    /// Base of the numbers before the entries, which begin at the time of a process's start in ms and would be long in decimal.
    constexpr int headerBase = 36;

    bool isPlain(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    }

    std::string encodeName(const std::string& name)
    {
        std::string text;
        for (const char c : name) {
            if (isPlain(c))
                text += c;
            else
                absl::StrAppendFormat(&text, "%%%02x", static_cast<unsigned char>(c));
        }
        return text.empty() ? "%" : text;
    }

    /// Builds datagrams from a header and entries, and begins a new one when the present one is full.
    class DatagramWriter {
    public:
        explicit DatagramWriter(absl::string_view kind)
            : m_header(absl::StrCat(protocolPrefix, kind))
        {
        }

        void name(const std::string& value) { absl::StrAppend(&m_header, " ", encodeName(value)); }
        void number(uint64_t value)
        {
            constexpr size_t maxDigits = 13;
            std::array<char, maxDigits> digits {};
            const auto end = std::to_chars(digits.begin(), digits.end(), value, headerBase).ptr;
            absl::StrAppend(&m_header, " ", absl::string_view(digits.data(), static_cast<size_t>(end - digits.data())));
        }

        void entry(const OrganisationId& organisation, std::initializer_list<double> numbers)
        {
            const std::string name = encodeName(organisation.value());
            if (name.size() > maxQuotaNameBytes)
                return;
            std::string text = " " + name;
            for (const double it : numbers) {
                if (it == std::floor(it) && std::abs(it) < maxNumber)
                    absl::StrAppend(&text, " ", static_cast<int64_t>(it));
                else
                    absl::StrAppendFormat(&text, " %.4g", it);
            }
            if (!m_entries.empty() && m_header.size() + m_entries.size() + text.size() + endMark.size() + 1 > DatagramPort::maxPayloadBytes)
                finish();
            m_entries += text;
        }

        /// Ends the present datagram, to which further header numbers do not apply.
        void finish()
        {
            m_datagrams.push_back(absl::StrCat(m_header, m_entries, " ", endMark));
            m_entries.clear();
        }

        std::vector<std::string> take()
        {
            if (!m_entries.empty() || m_datagrams.empty())
                finish();
            return std::move(m_datagrams);
        }

    private:
        std::string m_header;
        std::string m_entries;
        std::vector<std::string> m_datagrams;
    };

    /// Reads the parts of a datagram and remembers whether one was missing or malformed.
    class DatagramReader {
    public:
        explicit DatagramReader(std::string_view payload)
            : m_parts(absl::StrSplit(absl::string_view(payload.data(), payload.size()), ' '))
        {
            m_isValid = m_parts.size() >= 2 && m_parts.back() == endMark;
            if (m_isValid)
                m_parts.pop_back();
        }

        bool hasMore() const { return m_isValid && m_next < m_parts.size(); }
        bool isValid() const { return m_isValid; }
        void fail() { m_isValid = false; }

        absl::string_view part()
        {
            m_isValid = m_isValid && m_next < m_parts.size();
            return m_isValid ? m_parts[m_next++] : absl::string_view();
        }

        std::string name()
        {
            const absl::string_view text = part();
            std::string result;
            for (size_t n = 0; n < text.size() && text != "%"; ++n) {
                uint32_t byte = 0;
                if (isPlain(text[n])) {
                    result += text[n];
                } else if (text[n] == '%' && n + 2 < text.size() && absl::SimpleHexAtoi(text.substr(n + 1, 2), &byte)) {
                    result += static_cast<char>(byte);
                    n += 2;
                } else {
                    m_isValid = false;
                    break;
                }
            }
            m_isValid = m_isValid && !text.empty() && text.size() <= maxQuotaNameBytes;
            return result;
        }

        uint64_t number()
        {
            uint64_t value = 0;
            const absl::string_view text = part();
            const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, headerBase);
            m_isValid = m_isValid && error == std::errc() && end == text.data() + text.size();
            return m_isValid ? value : 0;
        }

        double real()
        {
            double value = 0;
            const absl::string_view text = part();
            m_isValid = m_isValid && absl::SimpleAtod(text, &value) && std::isfinite(value) && value >= 0 && value <= maxNumber;
            return m_isValid ? value : 0;
        }

        bool flag()
        {
            const double value = real();
            m_isValid = m_isValid && (value == 0 || value == 1);
            return value == 1;
        }

    private:
        std::vector<absl::string_view> m_parts;
        size_t m_next { 0 };
        bool m_isValid { false };
    };

    std::vector<std::string> encode(const QuotaReport& it)
    {
        DatagramWriter writer("R1");
        writer.name(it.instance.value());
        for (const uint64_t n : { it.number, it.coordinator })
            writer.number(n);
        for (const auto& entry : it.entries)
            writer.entry(entry.organisation, { entry.demand, entry.held.amount, entry.held.depth, std::floor(entry.heldFor.count()), entry.waiting, static_cast<double>(entry.confirmed), std::floor(entry.returned) });
        return writer.take();
    }

    QuotaMessage decodeReport(DatagramReader& reader)
    {
        QuotaReport it;
        it.instance = InstanceId(reader.name());
        for (uint64_t* n : { &it.number, &it.coordinator })
            *n = reader.number();
        while (reader.hasMore()) {
            QuotaReport::Entry entry;
            entry.organisation = OrganisationId(reader.name());
            entry.demand = reader.real();
            entry.held.amount = reader.real();
            entry.held.depth = reader.real();
            entry.heldFor = Milliseconds(reader.real());
            entry.waiting = reader.real();
            entry.confirmed = static_cast<uint64_t>(reader.real());
            entry.returned = reader.real();
            it.entries.push_back(std::move(entry));
        }
        return it;
    }

    std::vector<std::string> encode(const QuotaAnswer& it)
    {
        DatagramWriter writer("A1");
        writer.name(it.coordinatorAddress.host);
        for (const uint64_t n : { static_cast<uint64_t>(it.coordinatorAddress.port), it.coordinator, it.report, static_cast<uint64_t>(it.keepsOthers ? 1 : 0) })
            writer.number(n);
        for (const auto& entry : it.entries)
            writer.entry(entry.organisation, { entry.share.amount, entry.share.depth, entry.units, entry.freeRate, entry.isOverLimit ? 1.0 : 0.0, static_cast<double>(entry.number) });
        return writer.take();
    }

    QuotaMessage decodeAnswer(DatagramReader& reader)
    {
        QuotaAnswer it;
        it.coordinatorAddress.host = reader.name();
        const uint64_t port = reader.number();
        if (port > UINT16_MAX)
            reader.fail();
        it.coordinatorAddress.port = static_cast<uint16_t>(port);
        for (uint64_t* n : { &it.coordinator, &it.report })
            *n = reader.number();
        it.keepsOthers = reader.flag();
        while (reader.hasMore()) {
            QuotaAnswer::Entry entry;
            entry.organisation = OrganisationId(reader.name());
            entry.share.amount = reader.real();
            entry.share.depth = reader.real();
            entry.units = reader.real();
            entry.freeRate = reader.real();
            entry.isOverLimit = reader.flag();
            entry.number = static_cast<uint64_t>(reader.real());
            it.entries.push_back(std::move(entry));
        }
        return it;
    }

    std::vector<std::string> encode(const QuotaConfirmation& it)
    {
        DatagramWriter writer("C1");
        writer.number(it.report);
        return writer.take();
    }

    QuotaMessage decodeConfirmation(DatagramReader& reader)
    {
        const QuotaConfirmation it { reader.number() };
        if (reader.hasMore())
            reader.fail();
        return it;
    }

    std::vector<std::string> encodeClaims(const QuotaExchange& it, uint64_t from, uint64_t to, const std::vector<DomainClaim>& claims)
    {
        DatagramWriter writer("X1");
        writer.name(it.domain.value());
        for (const uint64_t n : { it.update.term, from, to, it.update.latest, it.update.confirmedTerm, it.update.confirmed })
            writer.number(n);
        for (const auto& claim : claims)
            writer.entry(claim.organisation, { claim.demand, claim.claim, static_cast<double>(claim.version) });
        return writer.take();
    }

    // The versions that a datagram covers depend on its claims, so each part is encoded on its own.
    std::vector<std::string> encode(const QuotaExchange& it)
    {
        constexpr size_t claimBytes = 40;
        constexpr size_t headerBytes = 500;
        std::vector<std::string> datagrams;
        std::vector<DomainClaim> part;
        uint64_t from = it.update.from;
        size_t size = headerBytes;
        for (const auto& claim : it.update.claims) {
            const size_t added = encodeName(claim.organisation.value()).size() + claimBytes;
            if (size + added > DatagramPort::maxPayloadBytes && !part.empty()) {
                datagrams.push_back(encodeClaims(it, from, part.back().version, part).front());
                from = part.back().version;
                part.clear();
                size = headerBytes;
            }
            size += added;
            part.push_back(claim);
        }
        datagrams.push_back(encodeClaims(it, from, it.update.to, part).front());
        return datagrams;
    }

    QuotaMessage decodeExchange(DatagramReader& reader)
    {
        QuotaExchange it;
        it.domain = FailureDomainId(reader.name());
        for (uint64_t* n : { &it.update.term, &it.update.from, &it.update.to, &it.update.latest, &it.update.confirmedTerm, &it.update.confirmed })
            *n = reader.number();
        while (reader.hasMore()) {
            DomainClaim claim;
            claim.organisation = OrganisationId(reader.name());
            claim.demand = reader.real();
            claim.claim = reader.real();
            claim.version = static_cast<uint64_t>(reader.real());
            it.update.claims.push_back(std::move(claim));
        }
        return it;
    }

    std::vector<std::string> encode(const QuotaTransfer& it)
    {
        DatagramWriter writer("T1");
        writer.name(it.domain.value());
        for (const uint64_t n : { it.receiver, it.number })
            writer.number(n);
        for (const auto& entry : it.entries)
            writer.entry(entry.organisation, { entry.wanted, entry.given });
        return writer.take();
    }

    QuotaMessage decodeTransfer(DatagramReader& reader)
    {
        QuotaTransfer it;
        it.domain = FailureDomainId(reader.name());
        for (uint64_t* n : { &it.receiver, &it.number })
            *n = reader.number();
        while (reader.hasMore()) {
            QuotaTransfer::Entry entry;
            entry.organisation = OrganisationId(reader.name());
            entry.wanted = reader.real();
            entry.given = reader.real();
            it.entries.push_back(std::move(entry));
        }
        return it;
    }

    std::vector<std::string> encode(const QuotaBeat& it)
    {
        DatagramWriter writer("B1");
        writer.name(it.instance.value());
        for (const bool flag : { it.isHolder, it.isActing, it.needsReply })
            writer.number(flag ? 1 : 0);
        for (const auto& entry : it.entries)
            writer.entry(entry.organisation, { entry.lent.amount, entry.lent.depth, std::floor(entry.level), entry.demand });
        return writer.take();
    }

    QuotaMessage decodeBeat(DatagramReader& reader)
    {
        QuotaBeat it;
        it.instance = InstanceId(reader.name());
        it.isHolder = reader.flag();
        it.isActing = reader.flag();
        it.needsReply = reader.flag();
        while (reader.hasMore()) {
            QuotaBeat::Entry entry;
            entry.organisation = OrganisationId(reader.name());
            entry.lent.amount = reader.real();
            entry.lent.depth = reader.real();
            entry.level = reader.real();
            entry.demand = reader.real();
            it.entries.push_back(std::move(entry));
        }
        return it;
    }

    using Decoder = QuotaMessage (*)(DatagramReader&);
    constexpr std::array<std::pair<absl::string_view, Decoder>, 6> decoders { { { "R1", decodeReport }, { "A1", decodeAnswer }, { "C1", decodeConfirmation }, { "X1", decodeExchange }, { "T1", decodeTransfer }, { "B1", decodeBeat } } };

}

size_t quotaEntryBytes(const OrganisationId& organisation)
{
    // Seven numbers of at most ten characters and their blanks.
    constexpr size_t numberBytes = 77;
    return encodeName(organisation.value()).size() + numberBytes;
}

std::vector<std::string> encodeQuotaMessage(const QuotaMessage& message)
{
    return std::visit([](const auto& it) { return encode(it); }, message);
}

std::optional<QuotaMessage> decodeQuotaMessage(std::string_view payload)
{
    if (payload.size() > DatagramPort::maxPayloadBytes)
        return std::nullopt;
    DatagramReader reader(payload);
    const absl::string_view kind = reader.part();
    for (const auto& [name, decode] : decoders) {
        if (!reader.isValid() || kind != name)
            continue;
        QuotaMessage message = decode(reader);
        return reader.isValid() ? std::optional<QuotaMessage>(std::move(message)) : std::nullopt;
    }
    return std::nullopt;
}

}
