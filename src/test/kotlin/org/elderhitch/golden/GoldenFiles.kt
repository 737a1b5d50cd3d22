package org.elderhitch.golden

import kotlin.test.assertNotNull

/** Samples of what stands in the state service and on the wire, as files of exact bytes. */
internal object GoldenFiles {
    fun bytes(name: String): ByteArray =
        assertNotNull(javaClass.getResourceAsStream("/golden/$name"), name).use { it.readBytes() }

    fun text(name: String): String = bytes(name).decodeToString()
}
