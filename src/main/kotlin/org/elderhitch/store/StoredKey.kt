package org.elderhitch.store

import org.elderhitch.jobs.JobId

/** A parsed key of the state service; see [Keys.parse]. */
public sealed interface StoredKey {
    /** The counter of leadership terms. */
    public data object TermCounter : StoredKey

    /** The current leader; the key is attached to its lease. */
    public data object Leader : StoredKey

    /** The record of an open job. */
    public data class Job(val id: JobId) : StoredKey

    /** How a job ended; written once and never dropped. */
    public data class TerminalRecord(val id: JobId) : StoredKey

    /** The hold of an open job. */
    public data class JobHold(val id: JobId) : StoredKey

    /** The block with number [block] of an open job's completed tasks. */
    public data class CompletedTasks(val id: JobId, val block: Int) : StoredKey

    /** The write-ahead record of a request for machines. */
    public data class ProvisioningIntent(val name: String) : StoredKey
}
