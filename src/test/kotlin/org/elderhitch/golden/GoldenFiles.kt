package org.elderhitch.golden

import kotlin.test.assertNotNull

/** The golden files: exact bytes of stored values, messages and settings files. */
internal object GoldenFiles {
    fun bytes(name: String): ByteArray =
        assertNotNull(javaClass.getResourceAsStream("/golden/$name"), name).use { it.readBytes() }

    fun text(name: String): String = bytes(name).decodeToString()
}
