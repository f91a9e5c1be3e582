#include "configuration/ChangeSubmission.h"

#include "base/ResultCode.h"
#include "configuration/ConfigurationDiff.h"
#include "configuration/ConfigurationYaml.h"
#include "configuration/Duration.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr size_t maxHistoryLength = 50;
    constexpr size_t maxDocumentBytes = 4'194'304;

    std::string describe(const ChangeRecord& record)
    {
        return "version " + std::to_string(record.version.value()) + " by " + record.author + " at " + formatInstant(record.submittedAt) + ": " + record.summary;
    }

}

ChangeSubmission::ChangeSubmission(ConfigurationStore& store, ConfigurationVersion base, const std::string& author, ConfigurationStore::ApplyDone done)
    : m_store(store)
    , m_alive(store.m_alive)
    , m_base(base)
    , m_author(author)
    , m_done(std::move(done))
{
}

void ChangeSubmission::start(ConfigurationStore& store, ConfigurationVersion base, const std::string& document, const std::string& author, ConfigurationStore::ApplyDone done)
{
    if (document.size() > maxDocumentBytes) {
        done(makeError(ResultCode::TooLarge, "the configuration document is larger than 4 MiB"));
        return;
    }
    if (author.empty()) {
        done(makeError(ResultCode::MissingField, "a change needs an author"));
        return;
    }
    auto proposed = loadConfiguration(document, "document");
    if (!proposed.ok()) {
        done(proposed.status());
        return;
    }
    const std::shared_ptr<ChangeSubmission> submission(new ChangeSubmission(store, base, author, std::move(done)));
    submission->m_proposed = std::move(*proposed);
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
        if (self->isFinished())
            return;
        if (row.ok())
            self->onRowRead(*row);
        else
            self->finish(makeError(ResultCode::PlatformUnavailable, "the platform's table did not answer; nothing was changed"));
    });
}

void ChangeSubmission::onRowRead(const std::optional<TableRow>& row)
{
    if (!row) {
        prepareBody();
        return;
    }
    const auto root = decodeRoot(row->value);
    if (!root.ok()) {
        finish(root.status());
        return;
    }
    m_expectedEtag = row->etag;
    adoptRow(*root, [self = shared_from_this()] { self->prepareBody(); });
}

void ChangeSubmission::adoptRow(const ConfigurationRoot& root, std::function<void()> next)
{
    if (!m_store.isNewer(root.digest)) {
        next();
        return;
    }
    m_store.m_objects.get(root.object, [self = shared_from_this(), root, next = std::move(next)](const auto& body) {
        if (self->isFinished())
            return;
        if (body.ok() && body->has_value())
            self->m_store.adopt(root.digest, **body);
        if (!self->m_store.isNewer(root.digest))
            next();
        else if (self->m_isInDoubt)
            self->retryWriteLater();
        else
            self->finish(makeError(ResultCode::PlatformUnavailable, "the body of the latest version could not be read from the object store; nothing was changed"));
    });
}

// Checks the base against the version in force and not against the row: a table restored from a backup holds an older
// version, and a change built on that would revert accepted changes on the whole fleet.
void ChangeSubmission::prepareBody()
{
    if (m_store.m_digest.version != m_base) {
        rejectWithConflict();
        return;
    }
    const auto changes = compareConfigurations(*m_store.m_current, m_proposed);
    if (changes.empty() && m_base != ConfigurationVersion()) {
        finish(m_base);
        return;
    }
    m_proposed.version = m_base.next();
    m_root.digest.version = m_proposed.version;
    m_root.digest.changeId = m_store.newChangeId();
    ConfigurationBody body;
    body.document = writeConfiguration(m_proposed);
    body.history = m_store.history();
    body.history.insert(body.history.begin(), { m_proposed.version, m_root.digest.changeId, m_author, m_store.m_loop.now(), summarizeChanges(changes) });
    body.history.resize(std::min(body.history.size(), maxHistoryLength));
    m_encodedBody = encodeBody(body);
    m_root.digest.bodyHash = hashOf(m_encodedBody);
    m_root.object = "configuration-" + std::to_string(m_proposed.version.value()) + "-" + m_root.digest.changeId;
    putBody();
}

void ChangeSubmission::putBody()
{
    m_store.m_objects.put(m_root.object, m_encodedBody, [self = shared_from_this()](const absl::Status& status) {
        if (self->isFinished())
            return;
        // The object's name contains the change id and no row refers to it yet, so a put that succeeds after its answer
        // is lost has no effect.
        if (status.ok())
            self->writeRow();
        else
            self->finish(makeError(ResultCode::PlatformUnavailable, "the platform's object store did not answer; nothing was changed"));
    });
}

void ChangeSubmission::writeRow()
{
    m_store.m_table.write(configurationRootKey, encodeRoot(m_root), m_expectedEtag, [self = shared_from_this()](const auto& row) {
        if (!self->isFinished())
            self->onRowWritten(row);
    });
}

void ChangeSubmission::onRowWritten(const absl::StatusOr<TableRow>& row)
{
    if (row.ok()) {
        finishAccepted();
        return;
    }
    if (resultCodeOf(row.status()) == ResultCode::ConfigurationConflict) {
        readRowAfterConflict();
        return;
    }
    if (!m_isInDoubt) {
        m_isInDoubt = true;
        m_writeRetryDeadline = m_store.m_loop.now() + m_store.m_settings.writeRetryTimeout;
    }
    retryWriteLater();
}

// Repeats the conditional write until it succeeds or conflicts, or until the timeout expires. After a success or a
// conflict, the row has changed, so an earlier write that is still in flight fails its condition. After a conflict,
// resolveConflict() finds out by the change id whether an earlier write took effect.
void ChangeSubmission::retryWriteLater()
{
    if (m_store.m_loop.now() >= m_writeRetryDeadline) {
        finish(makeError(ResultCode::OutcomeUnknown, "it is unknown whether the change was accepted, because the platform did not answer; look for change " + m_root.digest.changeId + " in the history"));
        return;
    }
    m_store.m_loop.after(m_store.m_settings.writeRetryInterval, [self = shared_from_this()] {
        if (!self->isFinished())
            self->writeRow();
    });
}

void ChangeSubmission::readRowAfterConflict()
{
    m_store.m_table.read(configurationRootKey, [self = shared_from_this()](const auto& row) {
        if (self->isFinished())
            return;
        const auto root = row.ok() && row->has_value() ? decodeRoot((*row)->value) : absl::StatusOr<ConfigurationRoot>(absl::UnavailableError("no row"));
        if (root.ok())
            self->resolveConflict(*root);
        else if (self->m_isInDoubt)
            self->retryWriteLater();
        else
            self->finish(makeError(ResultCode::ConfigurationConflict, "another change was accepted first, and it could not be read from the platform; nothing was changed"));
    });
}

void ChangeSubmission::resolveConflict(const ConfigurationRoot& root)
{
    if (root.digest.changeId == m_root.digest.changeId) {
        finishAccepted();
        return;
    }
    adoptRow(root, [self = shared_from_this()] {
        const auto& history = self->m_store.history();
        const auto& changeId = self->m_root.digest.changeId;
        const bool isAccepted = std::any_of(history.begin(), history.end(), [&changeId](const auto& it) { return it.changeId == changeId; });
        if (isAccepted)
            self->finish(self->m_proposed.version);
        else
            self->rejectWithConflict();
    });
}

void ChangeSubmission::finishAccepted()
{
    m_store.adopt(m_root.digest, m_encodedBody);
    finish(m_proposed.version);
}

void ChangeSubmission::rejectWithConflict()
{
    std::string message = "the change is based on version " + std::to_string(m_base.value()) + ", and these changes were accepted since:";
    for (const auto& it : m_store.history()) {
        if (it.version > m_base)
            message += "\n" + describe(it);
    }
    if (m_base > m_store.m_digest.version)
        message = "the change is based on version " + std::to_string(m_base.value()) + ", but the latest is " + std::to_string(m_store.m_digest.version.value());
    finish(makeError(ResultCode::ConfigurationConflict, message));
}

}
