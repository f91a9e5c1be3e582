#include "configuration/ChangeSubmission.h"

#include "base/ResultCode.h"
#include "configuration/ConfigurationDiff.h"
#include "configuration/ConfigurationYaml.h"
#include "configuration/Duration.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr size_t historyLength = 50;
    constexpr size_t greatestDocument = 4'194'304;

    std::string describe(const ChangeRecord& record)
    {
        return "version " + std::to_string(record.version.value()) + " by " + record.author + " at " + formatInstant(record.at) + ": " + record.summary;
    }

}

ChangeSubmission::ChangeSubmission(ConfigurationStore& store, ConfigurationVersion base, const std::string& author, ConfigurationStore::Applied done)
    : m_store(store)
    , m_alive(store.m_alive)
    , m_base(base)
    , m_author(author)
    , m_done(std::move(done))
{
}

void ChangeSubmission::start(ConfigurationStore& store, ConfigurationVersion base, const std::string& document, const std::string& author, ConfigurationStore::Applied done)
{
    if (document.size() > greatestDocument) {
        done(makeError(ResultCode::TooLarge, "a configuration document has at most 4 MiB"));
        return;
    }
    if (author.empty()) {
        done(makeError(ResultCode::MissingField, "a change needs an author"));
        return;
    }
    auto wanted = loadConfiguration(document, "document");
    if (!wanted.ok()) {
        done(wanted.status());
        return;
    }
    const std::shared_ptr<ChangeSubmission> submission(new ChangeSubmission(store, base, author, std::move(done)));
    submission->m_wanted = std::move(*wanted);
    submission->readRow();
}

void ChangeSubmission::finish(absl::StatusOr<ConfigurationVersion> result)
{
    if (auto done = std::exchange(m_done, nullptr))
        done(std::move(result));
}

void ChangeSubmission::readRow()
{
    m_store.m_table.read(configurationRootKey, [self = shared_from_this()](const auto& row) {
        if (self->isOver())
            return;
        if (row.ok())
            self->haveRow(*row);
        else
            self->finish(makeError(ResultCode::PlatformUnavailable, "the platform's table did not answer; nothing was changed"));
    });
}

void ChangeSubmission::haveRow(const std::optional<TableRow>& row)
{
    if (!row) {
        compose();
        return;
    }
    const auto root = decodeRoot(row->value);
    if (!root.ok()) {
        finish(root.status());
        return;
    }
    m_expectedEtag = row->etag;
    catchUp(*root, [self = shared_from_this()] { self->compose(); });
}

void ChangeSubmission::catchUp(const ConfigurationRoot& root, std::function<void()> next)
{
    if (!m_store.isNews(root.digest)) {
        next();
        return;
    }
    m_store.m_objects.get(root.object, [self = shared_from_this(), root, next = std::move(next)](const auto& body) {
        if (self->isOver())
            return;
        if (body.ok() && body->has_value())
            self->m_store.adopt(root.digest, **body);
        if (!self->m_store.isNews(root.digest))
            next();
        else if (self->m_isInDoubt)
            self->settleLater();
        else
            self->finish(makeError(ResultCode::PlatformUnavailable, "the latest version's body could not be read; nothing was changed"));
    });
}

// The version in force here counts, and not the row's: a table that was restored from a backup is behind what was accepted,
// and must not take the fleet back.
void ChangeSubmission::compose()
{
    if (m_store.m_digest.version != m_base) {
        refuseConflict();
        return;
    }
    const auto changes = compareConfigurations(*m_store.m_current, m_wanted);
    if (changes.empty() && m_base != ConfigurationVersion()) {
        finish(m_base);
        return;
    }
    m_wanted.version = m_base.next();
    m_root.digest.version = m_wanted.version;
    m_root.digest.changeId = m_store.newChangeId();
    ConfigurationBody body;
    body.document = writeConfiguration(m_wanted);
    body.history = m_store.history();
    body.history.insert(body.history.begin(), { m_wanted.version, m_root.digest.changeId, m_author, m_store.m_loop.now(), summarizeChanges(changes) });
    body.history.resize(std::min(body.history.size(), historyLength));
    m_encoded = encodeBody(body);
    m_root.digest.bodyHash = hashOf(m_encoded);
    m_root.object = "configuration-" + std::to_string(m_wanted.version.value()) + "-" + m_root.digest.changeId;
    putBody();
}

void ChangeSubmission::putBody()
{
    m_store.m_objects.put(m_root.object, m_encoded, [self = shared_from_this()](const absl::Status& status) {
        if (self->isOver())
            return;
        // The object's name is this attempt's own, so a put that took effect unseen changes nothing.
        if (status.ok())
            self->writeRow();
        else
            self->finish(makeError(ResultCode::PlatformUnavailable, "the platform's object store did not answer; nothing was changed"));
    });
}

void ChangeSubmission::writeRow()
{
    m_store.m_table.write(configurationRootKey, encodeRoot(m_root), m_expectedEtag, [self = shared_from_this()](const auto& row) {
        if (!self->isOver())
            self->haveWritten(row);
    });
}

void ChangeSubmission::haveWritten(const absl::StatusOr<TableRow>& row)
{
    if (row.ok()) {
        succeed();
        return;
    }
    if (resultCodeOf(row.status()) == ResultCode::ConfigurationConflict) {
        settle();
        return;
    }
    if (!m_isInDoubt) {
        m_isInDoubt = true;
        m_settleDeadline = m_store.m_loop.now() + m_store.m_settings.settleLimit;
    }
    settleLater();
}

// Repeating the conditional write settles a lost answer for good: it either wins now, or the conflict shows that the
// row has moved on, and a first write that is still under way can then no longer take effect either.
void ChangeSubmission::settleLater()
{
    if (m_store.m_loop.now() >= m_settleDeadline) {
        finish(makeError(ResultCode::OutcomeUnknown, "the platform went silent while the change was written; look for change " + m_root.digest.changeId + " in the history"));
        return;
    }
    m_store.m_loop.after(m_store.m_settings.settlePause, [self = shared_from_this()] {
        if (!self->isOver())
            self->writeRow();
    });
}

void ChangeSubmission::settle()
{
    m_store.m_table.read(configurationRootKey, [self = shared_from_this()](const auto& row) {
        if (self->isOver())
            return;
        const auto root = row.ok() && row->has_value() ? decodeRoot((*row)->value) : absl::StatusOr<ConfigurationRoot>(absl::UnavailableError("no row"));
        if (root.ok())
            self->haveSettled(*root);
        else if (self->m_isInDoubt)
            self->settleLater();
        else
            self->finish(makeError(ResultCode::ConfigurationConflict, "another change was accepted first, and the platform went silent before it could be read; nothing was changed"));
    });
}

void ChangeSubmission::haveSettled(const ConfigurationRoot& root)
{
    if (root.digest.changeId == m_root.digest.changeId) {
        succeed();
        return;
    }
    catchUp(root, [self = shared_from_this()] {
        const auto& history = self->m_store.history();
        const auto& changeId = self->m_root.digest.changeId;
        const bool isAccepted = std::any_of(history.begin(), history.end(), [&changeId](const auto& it) { return it.changeId == changeId; });
        if (isAccepted)
            self->finish(self->m_wanted.version);
        else
            self->refuseConflict();
    });
}

void ChangeSubmission::succeed()
{
    m_store.adopt(m_root.digest, m_encoded);
    finish(m_wanted.version);
}

void ChangeSubmission::refuseConflict()
{
    std::string message = "the change started from version " + std::to_string(m_base.value()) + ", and since then were accepted:";
    for (const auto& it : m_store.history()) {
        if (it.version > m_base)
            message += "\n" + describe(it);
    }
    if (m_base > m_store.m_digest.version)
        message = "the change started from version " + std::to_string(m_base.value()) + ", but the latest is " + std::to_string(m_store.m_digest.version.value());
    finish(makeError(ResultCode::ConfigurationConflict, message));
}

}
