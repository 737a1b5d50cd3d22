package org.elderhitch.app

import org.elderhitch.features.FeatureSet
import org.elderhitch.fleet.CatalogKeeper
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.Renter
import org.elderhitch.jobs.JobBook
import org.elderhitch.jobs.JobMessage
import org.elderhitch.leadership.Leadership
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.FeedListener
import org.elderhitch.store.Keys
import org.elderhitch.store.Revision
import org.elderhitch.time.Moment
import org.elderhitch.workers.Foreman
import org.elderhitch.workers.ForemanMessage
import org.elderhitch.workers.ImageHints

/** Tells each slice what the state service says. */
internal class FeedFan(
    private val book: JobBook,
    private val renter: Renter,
    private val catalog: CatalogKeeper,
    private val foreman: Foreman,
    private val leadership: Leadership,
    private val features: () -> FeatureSet,
    private val onUnserved: (String) -> Unit,
) : FeedListener {
    override fun snapshot(entries: List<Entry>, revision: Revision) {
        features().unserved(entries)?.let(onUnserved)
        book.tell(JobMessage.Snapshot(entries, revision))
        renter.tell(FleetMessage.Snapshot(entries))
        features().snapshot(entries)
        entries.firstOrNull { it.key == Keys.TYPES }?.let { catalog.stored(it) }
        entries.firstOrNull { it.key == Keys.IMAGES }?.let { hinted(it) }
        leadership.tell(LeadershipMessage.LeaderSeen(entries.firstOrNull { it.key == Keys.LEADER }))
    }

    override fun changed(changes: List<Change>, revision: Revision) {
        if (changes.isEmpty()) return
        features().unserved(changes.mapNotNull { (it as? Change.Put)?.entry })?.let(onUnserved)
        book.tell(JobMessage.Changed(changes))
        renter.tell(FleetMessage.Changed(changes))
        features().changed(changes)
        changes.lastOrNull {
            it.key == Keys.IMAGES
        }?.let { change -> (change as? Change.Put)?.let { hinted(it.entry) } }
        val last = changes.lastOrNull { it.key == Keys.LEADER } ?: return
        leadership.tell(LeadershipMessage.LeaderSeen((last as? Change.Put)?.entry))
    }

    /** By the same way as the changes before it, so that it reaches the leader's table after them. */
    override fun proven(since: Moment) = book.tell(JobMessage.Proven(since))

    private fun hinted(entry: Entry) = foreman.tell(ForemanMessage.ImagesHinted(ImageHints.decode(entry.value)))
}
