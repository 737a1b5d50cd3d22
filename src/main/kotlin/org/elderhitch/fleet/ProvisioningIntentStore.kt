package org.elderhitch.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.store.Change
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.ReadOutcome
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.StoredKey
import org.elderhitch.store.Write
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The provisioning intents: those in the state service, and the working copies of this term. Each write is conditional
 * on the term and on the version of the intent that it replaces.
 */
internal class ProvisioningIntentStore(
    private val scope: CoroutineScope,
    private val store: StateClient,
    private val tellLeadership: (LeadershipMessage) -> Unit,
    private val tell: (FleetMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")

    /** The content of a write: a snapshot of the intent from before the write begins. */
    private class Content(intent: ProvisioningIntent) {
        val value: Map<String, Any?> = intent.encode()
        private val machines = intent.machines
        private val up = intent.recordedUp + intent.pendingUp

        fun matches(stored: ProvisioningIntent): Boolean = stored.machines == machines && stored.recordedUp == up
    }

    private sealed interface WriteAttempt {
        /** The write was executed with revision [version]; null if it was refused for good. */
        class Finished(val version: Revision?) : WriteAttempt

        data object Retry : WriteAttempt
    }

    /**
     * The entries in the state service, which are tracked in every role. A leader that was paused may receive its
     * successors' intents before it learns that it has lost the leadership, and must know their machines in its next
     * term.
     */
    private val storedEntries = LinkedHashMap<String, Entry>()

    /** The working copies of this term. */
    private val currentIntents = LinkedHashMap<String, ProvisioningIntent>()
    private var compactedAt = MonotonicInstant.NEVER

    val all: Collection<ProvisioningIntent> get() = currentIntents.values

    /** The intents whose machines are not known yet. */
    val open: List<ProvisioningIntent> get() = currentIntents.values.filter { it.machines == null }

    operator fun get(name: String?): ProvisioningIntent? = currentIntents[name]

    /** Replaces the tracked entries by a snapshot of the state service. */
    fun replaceStored(entries: List<Entry>) {
        storedEntries.clear()
        entries.forEach(::put)
    }

    /** Applies a change in the state service. Keys of other kinds are ignored. */
    fun applyChange(change: Change) {
        when (change) {
            is Change.Put -> put(change.entry)

            is Change.Drop -> (Keys.parse(change.key) as? StoredKey.ProvisioningIntent)?.let {
                storedEntries.remove(it.name)
            }
        }
    }

    private fun put(entry: Entry) {
        val key = Keys.parse(entry.key) as? StoredKey.ProvisioningIntent ?: return
        storedEntries[key.name] = entry
    }

    /** Loads the stored intents for a new term. Earlier terms may have sent the requests of any of them. */
    fun loadStored() {
        currentIntents.clear()
        for ((name, entry) in storedEntries) decoded(name, entry)?.let { currentIntents[name] = it }
        currentIntents.values.forEach { it.wasRequested = true }
    }

    private fun decoded(name: String, entry: Entry): ProvisioningIntent? = try {
        ProvisioningIntent.decode(name, entry.value, entry.version)
    } catch (e: MalformedJson) {
        log.error("intent malformed name={} reason=\"{}\"", name, e.message)
        null
    }

    /** Stores a new intent. The outcome is sent as [FleetMessage.IntentRecorded]. */
    fun add(leadership: LeadershipState.Leader, intent: ProvisioningIntent) {
        intent.startRecording()
        currentIntents[intent.name] = intent
        write(leadership, intent) { version -> FleetMessage.IntentRecorded(leadership.term, intent.name, version) }
    }

    /** Deletes an intent in the background, without retries. If that fails, a later term settles the intent. */
    fun delete(leadership: LeadershipState.Leader, intent: ProvisioningIntent) {
        currentIntents.remove(intent.name)
        scope.launch {
            store.commit(
                listOf(Condition(Keys.TERM, leadership.termRevision)),
                listOf(Write.Drop(Keys.provisioningIntent(intent.name))),
                RequestPriority.OTHER,
                WRITE_TIMEOUT,
            )
        }
    }

    /** Stores the ids of the intent's machines. The outcome is sent as [FleetMessage.IntentRecorded]. */
    fun recordMachines(leadership: LeadershipState.Leader, intent: ProvisioningIntent) =
        write(leadership, intent) { version -> FleetMessage.IntentRecorded(leadership.term, intent.name, version) }

    /** Stores which machines are up. The outcome is sent as [FleetMessage.MachineUpRecorded]. */
    fun recordUp(leadership: LeadershipState.Leader, intent: ProvisioningIntent) {
        intent.isRecordingUp = true
        val written = intent.pendingUp.toSet()
        write(leadership, intent) { version ->
            FleetMessage.MachineUpRecorded(leadership.term, intent.name, written, version != null)
        }
    }

    /**
     * Rewrites an intent that names machines that don't exist any more. Otherwise, each later takeover would wait for
     * these machines and terminate them again. Intents are rewritten one at a time, to leave the write rate to others.
     */
    fun compact(leadership: LeadershipState.Leader, now: MonotonicInstant, exists: (MachineId) -> Boolean) {
        if (now - compactedAt < COMPACT_INTERVAL) return
        val intent = currentIntents.values.firstOrNull { it.needsRewrite && it.isIdle && !it.isRecordingUp } ?: return
        compactedAt = now
        intent.retainMachines(exists)
        recordUp(leadership, intent)
    }

    private fun write(
        leadership: LeadershipState.Leader,
        intent: ProvisioningIntent,
        onResult: (Revision?) -> FleetMessage,
    ) {
        val content = Content(intent)
        scope.launch { tell(onResult(writeWithRetries(leadership, intent, content))) }
    }

    /** Returns the revision of the write; null if it is not known to have been executed. */
    private suspend fun writeWithRetries(
        leadership: LeadershipState.Leader,
        intent: ProvisioningIntent,
        content: Content,
    ): Revision? {
        repeat(WRITE_ATTEMPTS) {
            val attempt = attemptWrite(leadership, intent, content)
            if (attempt is WriteAttempt.Finished) return attempt.version
        }
        return null
    }

    private suspend fun attemptWrite(
        leadership: LeadershipState.Leader,
        intent: ProvisioningIntent,
        content: Content,
    ): WriteAttempt {
        val key = Keys.provisioningIntent(intent.name)
        // Conditional on the version too: a write that had timed out was executed 30 s later and overwrote a newer one
        // that recorded machines as up. The next term took these for booting and started their tasks elsewhere.
        val outcome = store.commit(
            listOf(Condition(Keys.TERM, leadership.termRevision), Condition(key, intent.version)),
            listOf(Write.Put(key, content.value)),
            RequestPriority.END,
            WRITE_TIMEOUT,
        )
        return when {
            outcome is CommitOutcome.Committed -> {
                intent.version = outcome.revision
                WriteAttempt.Finished(outcome.revision)
            }

            outcome is CommitOutcome.Conflict && Keys.TERM in outcome.failed -> {
                log.info("intent refused term={} reason=\"a later term has begun\"", leadership.term)
                this.tellLeadership(LeadershipMessage.TermObserved(leadership.nextTerm))
                WriteAttempt.Finished(null)
            }

            outcome is CommitOutcome.Conflict -> resolveConflict(key, intent, content)

            else -> {
                delay(WRITE_RETRY_DELAY)
                WriteAttempt.Retry
            }
        }
    }

    /**
     * Handles a version conflict, which means that an earlier attempt of this term was executed after all. It wrote
     * either the same content, or an earlier one whose version is then the one to replace. Writes of different contents
     * of an intent don't overlap within a term, as each begins only after the outcome of the previous one.
     */
    private suspend fun resolveConflict(key: String, intent: ProvisioningIntent, content: Content): WriteAttempt {
        when (val read = store.read(key, RequestPriority.END)) {
            is ReadOutcome.Found -> {
                val version = read.entry.version
                intent.version = version
                val isWritten = decoded(intent.name, read.entry)?.let(content::matches) ?: false
                if (isWritten) return WriteAttempt.Finished(version)
            }

            ReadOutcome.Absent -> intent.version = Revision.ABSENT

            ReadOutcome.Unavailable -> delay(WRITE_RETRY_DELAY)
        }
        return WriteAttempt.Retry
    }

    companion object {
        /** Delay before a write is retried. */
        val WRITE_RETRY_DELAY = 500.milliseconds
        private val COMPACT_INTERVAL = 500.milliseconds
        private const val WRITE_ATTEMPTS = 4
        private val WRITE_TIMEOUT = 3.seconds
    }
}
