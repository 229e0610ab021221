"""Tests of the validation of settings files."""

from mulberryloom_core.process import settings

SCHEMA = {
    'type': 'object',
    'additionalProperties': False,
    'required': ['name'],
    'properties': {
        'name': {'type': 'string'},
        'limits': {
            'type': 'object',
            'properties': {'bytes': {'type': 'integer', 'minimum': 1}},
        },
    },
}


def test_parse_reports_all_errors_with_paths():
    document = '{"limits": {"bytes": 0}, "nmae": "x"}'
    problems = settings.parse(document, SCHEMA).err_value
    assert {problem.path for problem in problems} == {'$', '$.limits.bytes'}
    assert len(problems) == 3


def test_parse_reports_malformed_json():
    problems = settings.parse('{', SCHEMA).err_value
    assert 'valid JSON' in problems[0].expected


def test_read_reports_missing_file(tmp_path):
    problems = settings.read(tmp_path / 'none.json', SCHEMA).err_value
    assert problems[0].path == '$'


# Guards against an exception in the handler of a request or of a heartbeat.
def test_deeply_nested_text_is_a_problem():
    text = b'{"a":' + b'[' * 100_000 + b']' * 100_000 + b'}'
    assert settings.parse(text, {'type': 'object'}).is_err()
